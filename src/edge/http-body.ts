/** Small helpers for the JSON interfaces of operators and backend servers. */
import type { IncomingMessage, ServerResponse } from 'node:http';

/** Thrown when a request body is longer than allowed. */
export class BodyTooLargeError extends Error {
  override readonly name = 'BodyTooLargeError';
}

/** Reads a whole request body as text, at most `maxBytes` long. */
export async function readText(request: IncomingMessage, maxBytes: number): Promise<string> {
  const chunks: Buffer[] = [];
  let length = 0;
  for await (const chunk of request as AsyncIterable<Buffer>) {
    length += chunk.length;
    if (length > maxBytes) throw new BodyTooLargeError(`the body is longer than ${maxBytes} bytes`);
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString('utf8');
}

/** Answers with a JSON body; bytes are sent as they are. */
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
