/**
 * A backend server of a call benchmark, run as a process of its own.
 *
 * Arguments: port, slots, milliseconds a run takes. With more runs than slots each one slows down in
 * proportion, as on a real server whose processor is shared. With 0 ms it answers at once.
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
