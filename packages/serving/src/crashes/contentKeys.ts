/**
 * Identifies the content of requests, so that content on which targets crash is recognized again: the parts of the
 * prompt that other requests may share, and the request as a whole.
 */
import { createHash } from 'node:crypto';

/** Length of the hash in a key, in base64 characters. */
const HASH_LENGTH = 11;

/** First character of a key, by what it identifies. */
const PREFIXES = { part: 'p', request: 'r' } as const;

/** The fields of a request that may crash a target. */
export interface RequestContent {
  readonly service: string;
  readonly account: string | undefined;
  readonly path: string;
  /** Ids of the prompt's parts that other requests may contain too, in order. */
  readonly sharedPromptParts: readonly string[];
  readonly body: Buffer;
}

const computeKey = (
  kind: keyof typeof PREFIXES,
  ...fields: readonly (string | Buffer)[]
): string => {
  const hash = createHash('sha256');
  fields.forEach((field) => hash.update(field).update('\0'));
  return PREFIXES[kind] + hash.digest('base64url').slice(0, HASH_LENGTH);
};

/**
 * Checks what a key identifies.
 *
 * @param key - content key
 * @returns whether it is the key of a whole request, and not of a part of its prompt
 */
export const isRequestKey = (key: string): boolean => key.startsWith(PREFIXES.request);

/**
 * Computes the keys of a request's content. The whole request has a key too, as its other fields may crash a target as
 * well; a retry by its caller has the same one.
 *
 * @param content - service, account, path, parts of the prompt, and body
 * @returns one key for each shared part of the prompt and one for the whole request, from the most general to the most
 * specific
 */
export const computeContentKeys = ({
  service,
  account,
  path,
  sharedPromptParts,
  body,
}: RequestContent): string[] => {
  const parts = sharedPromptParts.map((part) => computeKey('part', service, part));
  return [...new Set(parts), computeKey('request', account ?? '', path, body)];
};
