/**
 * Errors as tagged unions. Each error includes the step at which it occurred and the peer involved, so
 * that one log line is enough to locate it.
 */
import type { Address, HostId } from './ids.js';

/** The peer at which an error occurred: another process, a backend server or a local resource. */
export type Peer =
  | { readonly kind: 'host'; readonly host: HostId }
  | { readonly kind: 'address'; readonly address: Address }
  | { readonly kind: 'file'; readonly path: string }
  | { readonly kind: 'self' };

/** The common fields of all tagged errors. `kind` discriminates the members of a union. */
export interface Fault<Kind extends string, Step extends string = string> {
  readonly kind: Kind;
  readonly step: Step;
  readonly peer: Peer;
  readonly message: string;
}

/** A result that is either a value or a tagged error. */
export type Result<T, E> =
  { readonly ok: true; readonly value: T } | { readonly ok: false; readonly error: E };

/** Returns a successful result with a value. */
export function makeOk<T>(value: T): { readonly ok: true; readonly value: T } {
  return { ok: true, value };
}

/** Returns a failed result with a tagged error. */
export function makeError<E>(error: E): { readonly ok: false; readonly error: E } {
  return { ok: false, error };
}

/** The peer of an error that occurred within this process. */
export const SELF: Peer = { kind: 'self' };

/** An exception that wraps a tagged error, for code that can only throw, such as a library callback. */
export class FaultError<F extends Fault<string>> extends Error {
  override readonly name = 'FaultError';
  readonly fault: F;

  constructor(fault: F) {
    super(`${fault.step}: ${fault.message}`);
    this.fault = fault;
  }
}
