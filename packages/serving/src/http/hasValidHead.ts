/** Checks of the heads of callers' requests that the HTTP parser doesn't make. */
import type { IncomingMessage } from 'node:http';

/** Visible ASCII characters. The parser of Node.js accepts further bytes on some processors and rejects them on others. */
const TARGET = /^[\x21-\x7e]+$/;

const FIELD_NAME = /^[\w!#$%&'*+.^`|~-]+$/;

const HTTP_1_0 = '1.0';

/**
 * Checks whether the head of a request is valid: its target is visible ASCII, all names of fields are tokens, and it has one host. Node.js accepts spaces in
 * names, and several hosts, of which a target may take another one than the host that chose it.
 *
 * @param message - the request
 * @returns whether the request can be passed on
 */
export const hasValidHead = ({
  url = '',
  rawHeaders,
  httpVersion,
}: Pick<IncomingMessage, 'url' | 'rawHeaders' | 'httpVersion'>): boolean => {
  const names = rawHeaders.filter((_, index) => index % 2 === 0);
  const hosts = names.filter((name) => name.toLowerCase() === 'host').length;
  return (
    TARGET.test(url) &&
    names.every((name) => FIELD_NAME.test(name)) &&
    (hosts === 1 || (hosts === 0 && httpVersion === HTTP_1_0))
  );
};
