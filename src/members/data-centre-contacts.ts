/** Detection of data centres that are unreachable as a whole. */
import type { DataCentreId, Instant } from '../ids.js';
import { UNREACHABLE_AFTER_FAILURES } from './timing.js';

/** The contact state of one data centre. */
interface Contact {
  lastContactAt: Instant;
  /** Failed probes since the last datagram from there. */
  failures: number;
}

/**
 * Distinguishes a data centre that is partitioned from one whose single members fail. While a data centre is
 * unreachable none of its members is suspected, so a partition costs no updates and heals without any.
 */
export class DataCentreContacts {
  readonly #contacts = new Map<DataCentreId, Contact>();

  /** Records a datagram from the data centre. Returns `true` if the data centre was unreachable before. */
  addContact(dataCentre: DataCentreId, now: Instant): boolean {
    const contact = this.#find(dataCentre);
    const wasUnreachable = contact.failures >= UNREACHABLE_AFTER_FAILURES;
    contact.lastContactAt = now;
    contact.failures = 0;
    return wasUnreachable;
  }

  /** Records a failed probe to the data centre. Returns `true` if this makes the data centre unreachable. */
  addFailure(dataCentre: DataCentreId): boolean {
    const contact = this.#find(dataCentre);
    contact.failures += 1;
    return contact.failures === UNREACHABLE_AFTER_FAILURES;
  }

  /** Whether a member of the data centre was heard from at `since` or later. */
  hasContactSince(dataCentre: DataCentreId, since: Instant): boolean {
    return this.#find(dataCentre).lastContactAt >= since;
  }

  isUnreachable(dataCentre: DataCentreId): boolean {
    return this.#find(dataCentre).failures >= UNREACHABLE_AFTER_FAILURES;
  }

  /** Whether probes to the data centre have begun to fail, so that it should be probed again. */
  isUncertain(dataCentre: DataCentreId): boolean {
    const { failures } = this.#find(dataCentre);
    return failures > 0 && failures < UNREACHABLE_AFTER_FAILURES;
  }

  // Internals.

  #find(dataCentre: DataCentreId): Contact {
    const known = this.#contacts.get(dataCentre);
    if (known !== undefined) return known;
    const fresh = { lastContactAt: 0 as Instant, failures: 0 };
    this.#contacts.set(dataCentre, fresh);
    return fresh;
  }
}
