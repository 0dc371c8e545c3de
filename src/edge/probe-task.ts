/** The datagram socket of the failure detector. */
import { createSocket } from 'node:dgram';
import type { RemoteInfo, Socket } from 'node:dgram';
import type { Stream } from 'most';
import type { Address } from '../ids.js';
import { splitAddress } from '../ids.js';
import type { ProbeMessage } from '../messages/index.js';
import type { ReportFailure } from '../pipe/index.js';
import { Task } from '../pipe/index.js';
import { MemberCodecError } from './member-codec.js';
import { decodeProbe, encodeProbe, MAX_DATAGRAM_BYTES } from './probe-codec.js';

/** A message to send as a datagram. */
export interface ProbeCommand {
  readonly to: Address;
  readonly message: ProbeMessage;
}

/** Counts of datagrams since the start; byte counts are payload bytes. */
export interface DatagramCounts {
  sent: number;
  sentBytes: number;
  received: number;
  receivedBytes: number;
  /** Received datagrams that were ignored as malformed. */
  malformed: number;
  /** Malformed updates that were dropped from received datagrams. */
  dropped: number;
  /** Failed sends and other socket errors. */
  failed: number;
}

/** Options of a {@link ProbeTask}. */
export interface ProbeTaskOptions {
  /** The address to bind; the UDP port number equals the TCP port number for links. */
  readonly bind: Address;
  readonly reportFailure: ReportFailure;
  readonly notify: (from: Address, message: ProbeMessage) => void;
  /** Called with the reason when a datagram or an update in it is dropped. */
  readonly notifyDropped: (from: Address, reason: string) => void;
}

/** Owns the UDP socket. Delivery is not guaranteed; malformed datagrams are counted and ignored. */
export class ProbeTask extends Task<ProbeCommand> {
  readonly #options: ProbeTaskOptions;
  readonly #counts: DatagramCounts = {
    sent: 0,
    sentBytes: 0,
    received: 0,
    receivedBytes: 0,
    malformed: 0,
    dropped: 0,
    failed: 0,
  };
  #socket: Socket | undefined;
  #pendingSends = 0;
  /** Called when no send is pending any more. */
  #resolveDrain: (() => void) | undefined;

  constructor(options: ProbeTaskOptions) {
    super('probes', options.reportFailure);
    this.#options = options;
  }

  get counts(): Readonly<DatagramCounts> {
    return this.#counts;
  }

  protected override createPipe(messages: Stream<ProbeCommand>): Stream<unknown> {
    return messages.tap((command) => {
      this.#send(command);
    });
  }

  protected override async open(): Promise<void> {
    const { host, port } = splitAddress(this.#options.bind);
    const socket = createSocket(host.includes(':') ? 'udp6' : 'udp4');
    this.#socket = socket;
    socket.on('message', (bytes, sender) => {
      this.#receive(bytes, sender);
    });
    await new Promise<void>((resolve, reject) => {
      socket.once('error', reject);
      socket.bind(port, host, () => {
        socket.off('error', reject);
        resolve();
      });
    });
    socket.on('error', () => {
      this.#counts.failed += 1;
    });
  }

  protected override async close(): Promise<void> {
    const socket = this.#socket;
    this.#socket = undefined;
    if (socket === undefined) return;
    await this.#waitForSends();
    await new Promise<void>((resolve) => {
      socket.close(resolve);
    });
  }

  // Internals.

  #send({ to, message }: ProbeCommand): void {
    const socket = this.#socket;
    if (socket === undefined) return;
    const { host, port } = splitAddress(to);
    const bytes = encodeProbe(message);
    this.#counts.sent += 1;
    this.#counts.sentBytes += bytes.length;
    this.#pendingSends += 1;
    socket.send(bytes, port, host, (error) => {
      if (error !== null) this.#counts.failed += 1;
      this.#pendingSends -= 1;
      if (this.#pendingSends === 0) this.#resolveDrain?.();
    });
  }

  /** Waits for pending sends; the last datagrams announce that this process leaves the mesh. */
  #waitForSends(): Promise<void> {
    if (this.#pendingSends === 0) return Promise.resolve();
    return new Promise((resolve) => {
      this.#resolveDrain = resolve;
    });
  }

  #receive(bytes: Buffer, sender: RemoteInfo): void {
    this.#counts.received += 1;
    this.#counts.receivedBytes += bytes.length;
    const from = formatAddress(sender);
    const message = this.#readMessage(bytes, from);
    if (message !== undefined) this.#options.notify(from, message);
  }

  #readMessage(bytes: Buffer, from: Address): ProbeMessage | undefined {
    const { notifyDropped } = this.#options;
    try {
      if (from.endsWith(':0')) throw new MemberCodecError('the datagram has the source port 0');
      if (bytes.length > MAX_DATAGRAM_BYTES)
        throw new MemberCodecError('the datagram exceeds the size limit');
      return decodeProbe(bytes, (reason) => {
        this.#counts.dropped += 1;
        notifyDropped(from, reason);
      });
    } catch (error) {
      this.#counts.malformed += 1;
      notifyDropped(from, (error as Error).message);
      return undefined;
    }
  }
}

// Internals.

function formatAddress({ address, port, family }: RemoteInfo): Address {
  return (family === 'IPv6' ? `[${address}]:${port}` : `${address}:${port}`) as Address;
}
