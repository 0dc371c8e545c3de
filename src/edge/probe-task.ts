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

/** A datagram to send. */
export interface ProbeCommand {
  readonly to: Address;
  readonly message: ProbeMessage;
}

/** Datagrams that went through the socket so far; bytes are those of the payloads. */
export interface ProbeCounts {
  sent: number;
  sentBytes: number;
  received: number;
  receivedBytes: number;
  /** Datagrams that were ignored because they are no message. */
  malformed: number;
  /** Updates that were left out of datagrams because they are none. */
  dropped: number;
  /** Datagrams that the operating system refused to send. */
  failed: number;
}

/** What a probe task needs. */
export interface ProbeTaskOptions {
  /** Where the socket is bound: the UDP port has the number of the TCP port for links. */
  readonly bind: Address;
  readonly reportFailure: ReportFailure;
  readonly notify: (from: Address, message: ProbeMessage) => void;
  /** Hears why a datagram or an update in one was left out. */
  readonly notifyDropped: (from: Address, reason: string) => void;
}

/** Owns the socket. Delivery is not guaranteed, and malformed datagrams are counted and ignored. */
export class ProbeTask extends Task<ProbeCommand> {
  readonly #options: ProbeTaskOptions;
  readonly #counts: ProbeCounts = {
    sent: 0,
    sentBytes: 0,
    received: 0,
    receivedBytes: 0,
    malformed: 0,
    dropped: 0,
    failed: 0,
  };
  #socket: Socket | undefined;
  #sending = 0;
  /** Called when the last datagram has been handed to the operating system. */
  #notifySent: (() => void) | undefined;

  constructor(options: ProbeTaskOptions) {
    super('probes', options.reportFailure);
    this.#options = options;
  }

  get counts(): Readonly<ProbeCounts> {
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
    await this.#waitSent();
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
    this.#sending += 1;
    socket.send(bytes, port, host, (error) => {
      if (error !== null) this.#counts.failed += 1;
      this.#sending -= 1;
      if (this.#sending === 0) this.#notifySent?.();
    });
  }

  /** Waits for datagrams on their way out, the last of which tell that this process leaves. */
  #waitSent(): Promise<void> {
    if (this.#sending === 0) return Promise.resolve();
    return new Promise((resolve) => {
      this.#notifySent = resolve;
    });
  }

  #receive(bytes: Buffer, sender: RemoteInfo): void {
    this.#counts.received += 1;
    this.#counts.receivedBytes += bytes.length;
    const from = formAddress(sender);
    const message = this.#readMessage(bytes, from);
    if (message !== undefined) this.#options.notify(from, message);
  }

  #readMessage(bytes: Buffer, from: Address): ProbeMessage | undefined {
    const { notifyDropped } = this.#options;
    try {
      if (from.endsWith(':0')) throw new MemberCodecError('the sender has no port to answer to');
      if (bytes.length > MAX_DATAGRAM_BYTES) throw new MemberCodecError('the datagram is too long');
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

function formAddress({ address, port, family }: RemoteInfo): Address {
  return (family === 'IPv6' ? `[${address}]:${port}` : `${address}:${port}`) as Address;
}
