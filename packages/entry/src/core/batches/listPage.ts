/** Pages of lists, for the cursor pagination of OpenAI clients. */
import type { Exchange } from '../http/Exchange.js';

const MAX_PAGE_SIZE = 100;

/** Query of a list request. */
export interface PageQuery {
  /** Id of the item after which the page starts. */
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
 * @param defaultLimit - page size if the caller sets no valid limit
 * @returns cursor, limit and all parameters
 */
export const readPageQuery = ({ request }: Exchange, defaultLimit: number): PageQuery => {
  const parameters = new URL(request.originalUrl ?? request.url, 'http://entry').searchParams;
  const requested = Number(parameters.get('limit') ?? defaultLimit);
  const limit =
    Number.isInteger(requested) && requested > 0
      ? Math.min(requested, MAX_PAGE_SIZE)
      : defaultLimit;
  return { after: parameters.get('after') ?? undefined, limit, parameters };
};

/**
 * Returns the page of a list that a query asks for.
 *
 * @param items - complete list, in order
 * @param query - cursor and limit
 * @param getId - returns the id of an item
 * @returns the items of the page and whether more follow
 */
export const slicePage = <Item>(
  items: readonly Item[],
  { after, limit }: PageQuery,
  getId: (item: Item) => string,
): { readonly items: readonly Item[]; readonly hasMore: boolean } => {
  const position = after === undefined ? -1 : items.findIndex((item) => getId(item) === after);
  // An unknown cursor returns an empty page, so that a client that reads all pages never loops.
  const start = after !== undefined && position === -1 ? items.length : position + 1;
  return { items: items.slice(start, start + limit), hasMore: start + limit < items.length };
};

/**
 * Renders a page.
 *
 * @param data - rendered items
 * @param hasMore - whether more follow
 * @returns body of the response
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
