/** A bare TCP splice, the yardstick for a hop. Arguments: own port, port of the backend server. */
import { connect, createServer } from 'node:net';

const [port = 0, target = 0] = process.argv.slice(2).map(Number);
const server = createServer({ noDelay: true }, (near) => {
  const far = connect({ port: target, host: '127.0.0.1', noDelay: true });
  near.pipe(far).pipe(near);
  near.on('error', () => far.destroy());
  far.on('error', () => near.destroy());
});
server.listen(port, '127.0.0.1', () => process.send?.('ready'));
process.on('disconnect', () => {
  process.exit(0);
});
