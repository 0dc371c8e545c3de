/** The proxies to which a source speaks in place of roots that do not report. */
import { addMs } from '../clock.js';
import type { HostId, Instant, Version } from '../ids.js';
import type { OverlayMember } from './member-order.js';
import type { Overlay } from './overlay.js';
import { REPORT_TIMEOUT_MS } from './sent-versions.js';

/**
 * Walks down the forest from the roots, one level for each report timeout, past proxies that do not report.
 *
 * So one cut-off proxy after another on the way down delays a version by the report timeout each, and no walk
 * waits for the failure detector.
 */
export class StandIns {
  /** When each proxy that was addressed counts as silent. */
  #silentAt = new Map<HostId, Instant>();

  /** Lists the descendants of silent roots to address now; `findOwn` returns the version that a host reported. */
  list(
    overlay: Overlay,
    overdue: Version,
    findOwn: (host: HostId) => Version,
    now: Instant,
  ): OverlayMember[] {
    const standIns: OverlayMember[] = [];
    const silentAt = new Map<HostId, Instant>();
    let level = overlay.listAllRoots().filter(({ host }) => findOwn(host) < overdue);
    while (level.length > 0) {
      const children = overlay.listChildren(level);
      for (const { host } of children) {
        silentAt.set(host, this.#silentAt.get(host) ?? addMs(now, REPORT_TIMEOUT_MS));
      }
      standIns.push(...children);
      level = children.filter(
        ({ host }) => findOwn(host) < overdue && (silentAt.get(host) ?? now) <= now,
      );
    }
    this.#silentAt = silentAt;
    return standIns;
  }
}
