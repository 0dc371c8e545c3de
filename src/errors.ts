/**
 * Errors as tagged unions. Each one carries the step at which it arose and the peer involved, so
 * that a log line is enough to find the place.
 */
import type { Address, HostId } from './ids.js';

/** The peer at which an error arose: another process, a backend server or a local resource. */
export type Peer =
  | { readonly kind: 'host'; readonly host: HostId }
  | { readonly kind: 'address'; readonly address: Address }
  | { readonly kind: 'file'; readonly path: string }
  | { readonly kind: 'self' };

/** What every error carries. `Kind` tells the members of a union apart. */
export interface Fault<Kind extends string, Step extends string = string> {
  readonly kind: Kind;
  readonly step: Step;
  readonly peer: Peer;
  readonly message: string;
}

/** A result that is either a value or a tagged error. */
export type Result<T, E> =
  { readonly ok: true; readonly value: T } | { readonly ok: false; readonly error: E };

/** Wraps a value as a successful result. */
export function makeOk<T>(value: T): { readonly ok: true; readonly value: T } {
  return { ok: true, value };
}

/** Wraps a tagged error as a failed result. */
export function makeError<E>(error: E): { readonly ok: false; readonly error: E } {
  return { ok: false, error };
}

/** The peer of an error that arose within this process. */
export const SELF: Peer = { kind: 'self' };

/** Carries a tagged error through code that can only throw, such as a callback of a library. */
export class FaultError<F extends Fault<string>> extends Error {
  override readonly name = 'FaultError';
  readonly fault: F;

  constructor(fault: F) {
    super(`${fault.step}: ${fault.message}`);
    this.fault = fault;
  }
}
