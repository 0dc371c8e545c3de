/** Parses questions about calls. */
import { IdError, parseCallerId, parseClientAccountName } from '../ids.js';
import type { ExplainQuery } from '../messages/index.js';
import { parseHostName } from './call-headers.js';

/** Parses the URL of a question with the parameters `method`, `host`, `path`, `caller` and `account`. */
export function parseExplainQuery(url: string): ExplainQuery | IdError {
  const { searchParams } = new URL(url, 'http://localhost');
  const read = (name: string): string | undefined => searchParams.get(name) ?? undefined;
  const [path = '', caller, account] = [read('path'), read('caller'), read('account')];
  if (!path.startsWith('/')) return new IdError('a path that begins with "/" is required');
  try {
    return {
      method: read('method')?.toUpperCase() ?? 'GET',
      host: parseHostName(read('host')),
      path: path.replace(/\?.*$/, ''),
      caller: caller === undefined ? undefined : parseCallerId(caller),
      account: account === undefined ? undefined : parseClientAccountName(account),
    };
  } catch (error) {
    if (error instanceof IdError) return error;
    throw error;
  }
}
