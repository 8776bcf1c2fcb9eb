/** Pages of lists, as the cursor pagination of OpenAI clients reads them. */
import type { Exchange } from '../http/Exchange.js';

const MAX_PAGE_SIZE = 100;

/** What a caller asks of a list. */
export interface PageQuery {
  /** Id after which the page starts. */
  readonly after: string | undefined;
  readonly limit: number;
  readonly parameters: URLSearchParams;
}

/** A page of a list. */
export interface Page<Item> {
  readonly object: 'list';
  readonly data: readonly Item[];
  readonly first_id: string | null;
  readonly last_id: string | null;
  readonly has_more: boolean;
}

/**
 * Reads the query of a list request.
 *
 * @param exchange - the exchange
 * @param defaultLimit - items when the caller names no limit
 * @returns cursor and limit
 */
export const readPageQuery = ({ request }: Exchange, defaultLimit: number): PageQuery => {
  const parameters = new URL(request.originalUrl ?? request.url, 'http://entry').searchParams;
  const asked = Number(parameters.get('limit') ?? defaultLimit);
  const limit =
    Number.isInteger(asked) && asked > 0 ? Math.min(asked, MAX_PAGE_SIZE) : defaultLimit;
  return { after: parameters.get('after') ?? undefined, limit, parameters };
};

/**
 * Cuts a page out of a list.
 *
 * @param items - the whole list, in order
 * @param query - cursor and limit
 * @param idOf - gives the id of an item
 * @returns the items of the page and whether more follow
 */
export const slicePage = <Item>(
  items: readonly Item[],
  { after, limit }: PageQuery,
  idOf: (item: Item) => string,
): { readonly items: readonly Item[]; readonly hasMore: boolean } => {
  const position = after === undefined ? -1 : items.findIndex((item) => idOf(item) === after);
  // An unknown cursor gives an empty page, so that a client that pages through never loops.
  const start = after !== undefined && position === -1 ? items.length : position + 1;
  return { items: items.slice(start, start + limit), hasMore: start + limit < items.length };
};

/**
 * Renders a page.
 *
 * @param data - rendered items
 * @param hasMore - whether more follow
 * @returns the body of the answer
 */
export const renderPage = <Item extends { readonly id: string }>(
  data: readonly Item[],
  hasMore: boolean,
): Page<Item> => ({
  object: 'list',
  data,
  first_id: data[0]?.id ?? null,
  last_id: data[data.length - 1]?.id ?? null,
  has_more: hasMore,
});
