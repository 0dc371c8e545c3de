/** The recorded history of a mesh, and the check of its guarantees. */
import type { RunRecord } from './stand-in-server.js';

/** How a call ended for the caller. */
export type CallEnding =
  | { readonly kind: 'answered'; readonly status: number; readonly nonce: string | null }
  /** Refused by a proxy with the outcome in its answer. */
  | { readonly kind: 'refused'; readonly status: number; readonly outcome: string }
  /** The connection failed or timed out; the outcome is unknown to the caller. */
  | { readonly kind: 'broken' };

/** A call as its caller sent it. A resend has the same idempotency key and a new nonce. */
export interface CallRecord {
  readonly nonce: string;
  readonly key: string | undefined;
  readonly entry: string;
  readonly sentAt: number;
  readonly ending: CallEnding;
}

/** The receipt of an accepted note. */
export interface AcceptedNote {
  readonly number: number;
  readonly version: number;
  readonly digest: string;
}

/** A version that a proxy reported in its status. */
export interface VersionReading {
  readonly proxy: string;
  readonly at: number;
  readonly version: number;
}

/** Everything recorded during a run. */
export interface MeshHistory {
  readonly calls: readonly CallRecord[];
  readonly runs: readonly RunRecord[];
  readonly accepted: readonly AcceptedNote[];
  /** The receipts of all notes, read from the source at the end. */
  readonly finalNotes: readonly AcceptedNote[];
  readonly readings: readonly VersionReading[];
}

/** Lists every violated guarantee; empty if there are none. */
export function checkHistory(history: MeshHistory): string[] {
  return [
    ...checkIdempotencyKeys(history),
    ...checkRefusals(history),
    ...checkAnswers(history),
    ...checkNotes(history),
    ...checkVersionReadings(history),
  ];
}

// Internals.

function checkIdempotencyKeys({ runs }: MeshHistory): string[] {
  const counts = countBy(runs.flatMap((run) => run.key ?? []));
  return [...counts]
    .filter(([, count]) => count > 1)
    .map(([key, count]) => `key ${key} ran ${count} times`);
}

function checkRefusals({ calls, runs }: MeshHistory): string[] {
  const ran = new Set(runs.map((run) => run.nonce));
  return calls
    .filter(({ ending }) => ending.kind === 'refused' && ending.outcome === 'not-run')
    .filter((call) => ran.has(call.nonce))
    .map((call) => `call ${call.nonce} ran, but was refused as not run`);
}

/**
 * A call gets its own answer or, if it is a resend, that of an earlier call with the same idempotency
 * key.
 */
function checkAnswers({ calls }: MeshHistory): string[] {
  const keyOf = new Map(calls.map((call) => [call.nonce, call.key]));
  const violations: string[] = [];
  for (const { nonce, key, ending } of calls) {
    if (ending.kind !== 'answered' || ending.nonce === nonce) continue;
    const isResend = key !== undefined && ending.nonce !== null && keyOf.get(ending.nonce) === key;
    if (!isResend)
      violations.push(`call ${nonce} received the answer of ${ending.nonce ?? 'nobody'}`);
  }
  return violations;
}

function checkNotes({ accepted, finalNotes }: MeshHistory): string[] {
  const final = new Map(finalNotes.map((note) => [note.number, note]));
  const violations: string[] = [];
  const versions = new Map<number, number>();
  for (const { number, version, digest } of accepted) {
    const kept = final.get(number);
    if (kept?.version !== version || kept.digest !== digest) {
      violations.push(
        `note ${number} was accepted as version ${version} but is missing at the end`,
      );
    }
    const former = versions.get(version);
    if (former !== undefined && former !== number) {
      violations.push(`notes ${former} and ${number} were both accepted as version ${version}`);
    }
    versions.set(version, number);
  }
  const last = Math.max(0, ...finalNotes.map((note) => note.version));
  if (new Set(finalNotes.map((note) => note.version)).size !== last) {
    violations.push(`the versions of the notes have a gap below ${last}`);
  }
  return violations;
}

function checkVersionReadings({ readings }: MeshHistory): string[] {
  const highest = new Map<string, number>();
  const violations: string[] = [];
  for (const { proxy, version } of readings) {
    const former = highest.get(proxy) ?? 0;
    if (version < former)
      violations.push(`${proxy} went back from version ${former} to ${version}`);
    highest.set(proxy, Math.max(former, version));
  }
  return violations;
}

function countBy(items: readonly string[]): Map<string, number> {
  const counts = new Map<string, number>();
  for (const item of items) counts.set(item, (counts.get(item) ?? 0) + 1);
  return counts;
}
