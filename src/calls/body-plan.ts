/** Plans the order in which waiting request bodies are sent over a link. */
import { addMs } from '../clock.js';
import type { Instant } from '../ids.js';
import type { WaitingBody } from './body-admission.js';

/** The order of the bodies that can arrive in time, and the others. */
export interface BodyPlan {
  readonly order: readonly WaitingBody[];
  /** Bodies that cannot arrive in time behind those of the order. */
  readonly hopeless: readonly WaitingBody[];
}

/**
 * Plans the bodies for a link that is free from `startAt`. Bodies that arrive at full worth come first, earliest
 * deadline first; where not all can, those of the lowest worth per byte give way (the algorithm of Moore and Hodgson,
 * which keeps the largest number in time if all have the same worth). Those that give way are sent after the others if
 * they still arrive before their deadlines.
 */
export function planBodies(
  bodies: readonly WaitingBody[],
  startAt: Instant,
  bytesPerMs: number,
): BodyPlan {
  const { timely, displaced, endsAt } = selectTimely(bodies, startAt, bytesPerMs);
  const order = timely;
  const hopeless: WaitingBody[] = [];
  let end = endsAt;
  for (const body of displaced.sort((one, other) => measureDensity(other) - measureDensity(one))) {
    const arrivesAt = addMs(end, body.bytes / bytesPerMs);
    if (arrivesAt > body.dueBy) {
      hopeless.push(body);
      continue;
    }
    order.push(body);
    end = arrivesAt;
  }
  return { order, hopeless };
}

// Internals.

/** Worth per byte counts no body as shorter than this, because each one also costs a round trip. */
const MIN_DENSITY_BYTES = 4 * 1024;

interface Selection {
  readonly timely: WaitingBody[];
  readonly displaced: WaitingBody[];
  readonly endsAt: Instant;
}

function selectTimely(
  bodies: readonly WaitingBody[],
  startAt: Instant,
  bytesPerMs: number,
): Selection {
  const timely: WaitingBody[] = [];
  const displaced: WaitingBody[] = [];
  let endsAt = startAt;
  for (const body of [...bodies].sort((one, other) => one.aimBy - other.aimBy)) {
    const durationMs = body.bytes / bytesPerMs;
    if (addMs(startAt, durationMs) > body.aimBy) {
      displaced.push(body);
      continue;
    }
    timely.push(body);
    endsAt = addMs(endsAt, durationMs);
    while (endsAt > body.aimBy) {
      const least = removeLeast(timely);
      displaced.push(least);
      endsAt = addMs(endsAt, -least.bytes / bytesPerMs);
    }
  }
  return { timely, displaced, endsAt };
}

/** Removes and returns the body of the lowest worth per byte. */
function removeLeast(bodies: WaitingBody[]): WaitingBody {
  const least = bodies.reduce((one, other) =>
    measureDensity(other) <= measureDensity(one) ? other : one,
  );
  bodies.splice(bodies.indexOf(least), 1);
  return least;
}

function measureDensity({ worth, bytes }: WaitingBody): number {
  return worth / Math.max(bytes, MIN_DENSITY_BYTES);
}
