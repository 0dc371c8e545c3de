/** Reads and writes HTTP bodies for the JSON interfaces of operators and backend servers. */
import type { IncomingMessage, ServerResponse } from 'node:http';

/** Thrown when a request body exceeds its size limit. */
export class BodyTooLargeError extends Error {
  override readonly name = 'BodyTooLargeError';
}

/** Reads a complete request body as text; throws a {@link BodyTooLargeError} above `maxBytes`. */
export async function readBodyText(request: IncomingMessage, maxBytes: number): Promise<string> {
  const chunks: Buffer[] = [];
  let length = 0;
  for await (const chunk of request as AsyncIterable<Buffer>) {
    length += chunk.length;
    if (length > maxBytes) throw new BodyTooLargeError(`the body is longer than ${maxBytes} bytes`);
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString('utf8');
}

/** Sends an answer with a JSON body; a body of bytes is sent unchanged, as encoded JSON. */
export function sendJson(
  response: ServerResponse,
  status: number,
  body: unknown,
  headers: Readonly<Record<string, string>> = {},
): void {
  const bytes = body instanceof Uint8Array ? body : Buffer.from(JSON.stringify(body));
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': bytes.length,
    ...headers,
  });
  response.end(bytes);
}
