/**
 * A backend server of a call benchmark, run as a separate process.
 *
 * Arguments: port, slots, run time in milliseconds. With more runs than slots, run times grow in
 * proportion, as on a server whose runs share the processor. With 0 ms it answers immediately.
 */
import { createServer } from 'node:http';

const [port = 0, slots = 1, runMs = 0] = process.argv.slice(2).map(Number);
let running = 0;

const server = createServer((request, response) => {
  request.resume();
  if (runMs === 0) {
    response.end('ok');
    return;
  }
  running += 1;
  const timer = setTimeout(() => response.end('ok'), runMs * Math.max(1, running / slots));
  response.on('close', () => {
    clearTimeout(timer);
    running -= 1;
  });
});
server.listen(port, '127.0.0.1', () => process.send?.('ready'));
process.on('disconnect', () => {
  process.exit(0);
});
