/**
 * A plain TCP forwarder, the baseline for the cost of a hop. Arguments: its port, port of the backend
 * server.
 */
import { connect, createServer } from 'node:net';

const [port = 0, target = 0] = process.argv.slice(2).map(Number);
const server = createServer({ noDelay: true }, (callerSocket) => {
  const serverSocket = connect({ port: target, host: '127.0.0.1', noDelay: true });
  callerSocket.pipe(serverSocket).pipe(callerSocket);
  callerSocket.on('error', () => serverSocket.destroy());
  serverSocket.on('error', () => callerSocket.destroy());
});
server.listen(port, '127.0.0.1', () => process.send?.('ready'));
process.on('disconnect', () => {
  process.exit(0);
});
