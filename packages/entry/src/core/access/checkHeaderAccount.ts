/** Checks that the headers of a request name no other client account. */
import type { IncomingHttpHeaders } from 'node:http';
import { refuse, type Refusal } from '@jacinthlug/catalog/resultCodes';
import { innerHeaders } from '@jacinthlug/protocol/headers';
import type { Account } from '@jacinthlug/settings/tree/ResolvedConfiguration';
import { err, ok, type Result } from 'neverthrow';

const accountHeaders = ['openai-organization', 'openai-project', innerHeaders.account];

/**
 * Refuses a request whose headers name a different account than that of its key.
 *
 * @param headers - headers as the caller sent them
 * @param account - account of the key
 * @returns nothing, or the refusal `account-mismatch`
 */
export const checkHeaderAccount = (
  headers: IncomingHttpHeaders,
  account: Account,
): Result<void, Refusal> => {
  const names = accountHeaders.flatMap((name) => [headers[name]].flat());
  const namesOther = names.some((value) => value !== undefined && value !== account.name);
  return namesOther ? err(refuse('account-mismatch')) : ok(undefined);
};
