/**
 * A stand-in backend server, run as a process of its own.
 *
 * Arguments: service, own port, announce address of the proxy beside it. It answers every request with
 * its service and the request's nonce, counts runs, and announces itself until it is stopped.
 */
import { createServer } from 'node:http';
import { request } from 'undici';

const [service = '', port = '0', announce = ''] = process.argv.slice(2);
const HEARTBEAT_MS = 3_000;
const ANNOUNCE_EVERY_MS = 500;
let runs = 0;

const server = createServer((call, response) => {
  runs += 1;
  call.resume();
  call.on('end', () => {
    const nonce = call.headers['x-nonce'] ?? null;
    response.setHeader('content-type', 'application/json');
    response.end(JSON.stringify({ service, port: Number(port), path: call.url, nonce, runs }));
  });
});

async function announceState(state: string): Promise<void> {
  const body = JSON.stringify({
    service,
    address: `127.0.0.1:${port}`,
    slots: 20,
    connections: 100,
    state,
    heartbeat_ms: HEARTBEAT_MS,
  });
  const answer = await request(`http://${announce}/announce`, { method: 'POST', body });
  await answer.body.dump();
}

server.listen(Number(port), '127.0.0.1', () => {
  const repeat = (): void => {
    announceState('ready').catch(() => undefined);
  };
  repeat();
  setInterval(repeat, ANNOUNCE_EVERY_MS);
});
process.once('SIGTERM', () => {
  process.exit(0);
});
