/** Decides which of the versions that a proxy holds may serve calls. */
import type { Version } from '../ids.js';
import type { VersionMark } from '../messages/index.js';
import type { Whole } from '../notes/index.js';
import { formMark } from './delta-span.js';

/** What follows for the served version. */
export type ServeStep =
  /** The floor must be on disk before the version may serve. */
  | { readonly kind: 'save-floor'; readonly mark: VersionMark }
  /** Calls take this whole from now on. */
  | { readonly kind: 'whole'; readonly whole: Whole };

/** Why a proxy may begin to serve. */
export type VouchedBy = 'floor' | 'source' | 'peers';

/**
 * Keeps a proxy that starts empty from serving a lower version than it served in an earlier life.
 *
 * It serves nothing until its floor on disk, the source, or enough peers have named a version, and it
 * holds that version or a higher one. From then on it serves every version that it applies. Where there
 * is a disk, a version serves only after the floor was synced.
 */
export class ServedVersion {
  readonly #keepsFloor: boolean;
  #floor: VersionMark | undefined;
  #vouched: VersionMark | undefined;
  #vouchedBy: VouchedBy | undefined;
  #served: Whole | undefined;
  #saving: Whole | undefined;
  #next: Whole | undefined;

  /** `keepsFloor` tells whether this host has a disk for the floor. */
  constructor(keepsFloor: boolean) {
    this.#keepsFloor = keepsFloor;
  }

  /** The whole that serves calls, if any does. */
  get whole(): Whole | undefined {
    return this.#served;
  }

  /** The version from which this proxy may serve, once somebody has named it. */
  get vouched(): VersionMark | undefined {
    return this.#vouched;
  }

  /** What allowed this proxy to serve, or will once it holds the version. */
  get vouchedBy(): VouchedBy | undefined {
    return this.#vouchedBy;
  }

  /** Tells whether nothing has named a version yet. */
  get needsVouch(): boolean {
    return this.#vouched === undefined;
  }

  /** Takes in the floor that was found on disk. */
  loadFloor(mark: VersionMark | undefined): void {
    this.#floor = mark;
    if (mark !== undefined) this.addVouch(mark, 'floor');
  }

  /** Takes in the version that somebody vouches for; only the first one counts. */
  addVouch(mark: VersionMark, by: VouchedBy): void {
    if (this.#vouched !== undefined) return;
    this.#vouched = mark;
    this.#vouchedBy = by;
  }

  /** Decides what follows when the proxy holds `whole`. */
  decide(whole: Whole): readonly ServeStep[] {
    if (!this.#isAllowed(whole)) return [];
    if (!this.#keepsFloor) return this.#serve(whole);
    if (this.#saving !== undefined) {
      this.#next = whole;
      return [];
    }
    return this.#save(whole);
  }

  /** The floor on disk has reached `version`. */
  handleSaved(version: Version): readonly ServeStep[] {
    const saved = this.#saving;
    if (saved === undefined || version < saved.version) return [];
    this.#saving = undefined;
    this.#floor = formMark(saved);
    const next = this.#next;
    this.#next = undefined;
    return [...this.#serve(saved), ...(next === undefined ? [] : this.#save(next))];
  }

  // Internals.

  #isAllowed(whole: Whole): boolean {
    const served = this.#served ?? this.#saving;
    if (served !== undefined) return whole.version > served.version;
    const mark = formMark(whole);
    if (this.#vouched === undefined || !hasReached(mark, this.#vouched)) return false;
    return this.#floor === undefined || hasReached(mark, this.#floor);
  }

  #save(whole: Whole): readonly ServeStep[] {
    if (this.#floor !== undefined && this.#floor.version >= whole.version)
      return this.#serve(whole);
    this.#saving = whole;
    return [{ kind: 'save-floor', mark: formMark(whole) }];
  }

  #serve(whole: Whole): readonly ServeStep[] {
    this.#served = whole;
    return [{ kind: 'whole', whole }];
  }
}

// Internals.

/** A mark reaches a wanted one when it is above it, or at it with the same digest. */
function hasReached(mark: VersionMark, wanted: VersionMark): boolean {
  if (mark.version === wanted.version) return mark.digest === wanted.digest;
  return mark.version > wanted.version;
}
