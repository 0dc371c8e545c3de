/** One turn of the membership pipe: the instant at which it happens, and what it sends on. */
import type { Address, Instant } from '../ids.js';
import type { ProbeMessage } from '../messages/index.js';
import type { MembersOut } from './members-state.js';

/** Collects the outputs of one decision. */
export class Turn {
  readonly now: Instant;
  readonly outputs: MembersOut[] = [];

  constructor(now: Instant) {
    this.now = now;
  }

  /** Adds an output. */
  add(output: MembersOut): void {
    this.outputs.push(output);
  }

  /** Adds a datagram. */
  send(to: Address, message: ProbeMessage): void {
    this.outputs.push({ kind: 'datagram', to, message });
  }
}
