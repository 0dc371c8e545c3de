/** Adds the bodies of other proxies to the load that a guard reports. */
import type { AttemptId, Instant } from '../ids.js';
import type { ServerLoad } from '../messages/index.js';
import type { BodyState } from './body-filter.js';

/** Counts the attempts whose bodies wait or arrive as waiting, so that entry proxies prefer hosts with free links. */
export function addBodies(
  bodies: BodyState | undefined,
  load: ServerLoad | undefined,
): ServerLoad | undefined {
  const count = bodies === undefined ? 0 : bodies.admission.waiting + bodies.admission.sending;
  if (load === undefined || count === 0) return load;
  return { ...load, waiting: load.waiting + count };
}

/** Counts the time for which a body waited and arrived as held, because it is no part of the round trip. */
export function addBodyTime(
  bodies: BodyState | undefined,
  attempt: AttemptId,
  load: ServerLoad | undefined,
  now: Instant,
): ServerLoad | undefined {
  const askedAt = bodies?.asked.get(attempt)?.askedAt;
  if (askedAt === undefined || load?.heldMs === undefined) return load;
  return { ...load, heldMs: now - askedAt };
}
