/** The context of one step of the membership filter. */
import type { Address, Instant } from '../ids.js';
import type { ProbeMessage } from '../messages/index.js';
import type { MembersOut } from './members-state.js';

/** The instant of one step, and the outputs collected in it. */
export class StepContext {
  readonly now: Instant;
  readonly outputs: MembersOut[] = [];

  constructor(now: Instant) {
    this.now = now;
  }

  /** Adds an output. */
  add(output: MembersOut): void {
    this.outputs.push(output);
  }

  /** Adds a datagram to the outputs. */
  send(to: Address, message: ProbeMessage): void {
    this.outputs.push({ kind: 'datagram', to, message });
  }
}
