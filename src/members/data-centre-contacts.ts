/** Which data centres are out of reach as a whole. */
import type { DataCentreId, Instant } from '../ids.js';
import { SILENT_AFTER_PROBES } from './timing.js';

/** What is known of the paths to one data centre. */
interface Contact {
  heardAt: Instant;
  /** Failed probes since the last word from there. */
  failures: number;
}

/**
 * Tells a data centre that is cut off from one whose single members fail. While a data centre is
 * silent none of its members is suspected, so a cut costs no updates and heals without any.
 */
export class DataCentreContacts {
  readonly #contacts = new Map<DataCentreId, Contact>();

  /** A member of the data centre was heard. Returns true when the data centre was silent before. */
  addHeard(dataCentre: DataCentreId, now: Instant): boolean {
    const contact = this.#find(dataCentre);
    const wasSilent = contact.failures >= SILENT_AFTER_PROBES;
    contact.heardAt = now;
    contact.failures = 0;
    return wasSilent;
  }

  /** A probe failed without a word from there. Returns true when the data centre is silent from now on. */
  addFailure(dataCentre: DataCentreId): boolean {
    const contact = this.#find(dataCentre);
    contact.failures += 1;
    return contact.failures === SILENT_AFTER_PROBES;
  }

  /** Tells whether a member of the data centre was heard at `since` or later. */
  wasHeardSince(dataCentre: DataCentreId, since: Instant): boolean {
    return this.#find(dataCentre).heardAt >= since;
  }

  isSilent(dataCentre: DataCentreId): boolean {
    return this.#find(dataCentre).failures >= SILENT_AFTER_PROBES;
  }

  /** Tells whether probes to the data centre have begun to fail, so that it should be probed again. */
  isDoubtful(dataCentre: DataCentreId): boolean {
    const { failures } = this.#find(dataCentre);
    return failures > 0 && failures < SILENT_AFTER_PROBES;
  }

  // Internals.

  #find(dataCentre: DataCentreId): Contact {
    const known = this.#contacts.get(dataCentre);
    if (known !== undefined) return known;
    const fresh = { heardAt: 0 as Instant, failures: 0 };
    this.#contacts.set(dataCentre, fresh);
    return fresh;
  }
}
