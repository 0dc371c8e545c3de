/** Decides which held version a proxy serves. */
import type { Version } from '../ids.js';
import type { VersionMark } from '../messages/index.js';
import type { Configuration } from '../notes/index.js';
import { buildMark } from './delta-span.js';

/** The actions that serving a version requires. */
export type ServeStep =
  /** The version floor must be synced to disk before the version is served. */
  | { readonly kind: 'save-floor'; readonly mark: VersionMark }
  /** Calls use this configuration from now on. */
  | { readonly kind: 'whole'; readonly configuration: Configuration };

/** The evidence that allows a proxy to serve. */
export type ConfirmedBy = 'floor' | 'source' | 'peers';

/**
 * Prevents a restarted proxy from serving a lower version than it served before the restart.
 *
 * The proxy serves nothing until its floor on disk, the source or a majority of polled peers confirms a
 * version, and it holds that version or a higher one. From then on it serves every version that it
 * applies. On a host with a disk, a version is served only after the floor was synced.
 */
export class ServedVersion {
  readonly #keepsFloor: boolean;
  #floor: VersionMark | undefined;
  #confirmedMark: VersionMark | undefined;
  #confirmedBy: ConfirmedBy | undefined;
  #served: Configuration | undefined;
  #saving: Configuration | undefined;
  #pending: Configuration | undefined;

  /** `keepsFloor` is whether this host has a disk for the version floor. */
  constructor(keepsFloor: boolean) {
    this.#keepsFloor = keepsFloor;
  }

  /** The configuration that is served, if any. */
  get configuration(): Configuration | undefined {
    return this.#served;
  }

  /** The minimum version that this proxy may serve, once confirmed. */
  get confirmedMark(): VersionMark | undefined {
    return this.#confirmedMark;
  }

  /** The origin of the confirmation. */
  get confirmedBy(): ConfirmedBy | undefined {
    return this.#confirmedBy;
  }

  /** Whether no version has been confirmed yet. */
  get needsConfirmation(): boolean {
    return this.#confirmedMark === undefined;
  }

  /** Sets the version floor that was loaded from disk. */
  loadFloor(mark: VersionMark | undefined): void {
    this.#floor = mark;
    if (mark !== undefined) this.addConfirmation(mark, 'floor');
  }

  /** Sets the minimum version that this proxy may serve; only the first call has an effect. */
  addConfirmation(mark: VersionMark, by: ConfirmedBy): void {
    if (this.#confirmedMark !== undefined) return;
    this.#confirmedMark = mark;
    this.#confirmedBy = by;
  }

  /** Returns the actions after the proxy has applied `configuration`. */
  decide(configuration: Configuration): readonly ServeStep[] {
    if (!this.#isAllowed(configuration)) return [];
    if (!this.#keepsFloor) return this.#serve(configuration);
    if (this.#saving !== undefined) {
      this.#pending = configuration;
      return [];
    }
    return this.#save(configuration);
  }

  /** Returns the actions after the floor was synced at `version`. */
  handleSaved(version: Version): readonly ServeStep[] {
    const saved = this.#saving;
    if (saved === undefined || version < saved.version) return [];
    this.#saving = undefined;
    this.#floor = buildMark(saved);
    const next = this.#pending;
    this.#pending = undefined;
    return [...this.#serve(saved), ...(next === undefined ? [] : this.#save(next))];
  }

  // Internals.

  #isAllowed(configuration: Configuration): boolean {
    const served = this.#served ?? this.#saving;
    if (served !== undefined) return configuration.version > served.version;
    const mark = buildMark(configuration);
    if (this.#confirmedMark === undefined || !hasReached(mark, this.#confirmedMark)) return false;
    return this.#floor === undefined || hasReached(mark, this.#floor);
  }

  #save(configuration: Configuration): readonly ServeStep[] {
    if (this.#floor !== undefined && this.#floor.version >= configuration.version)
      return this.#serve(configuration);
    this.#saving = configuration;
    return [{ kind: 'save-floor', mark: buildMark(configuration) }];
  }

  #serve(configuration: Configuration): readonly ServeStep[] {
    this.#served = configuration;
    return [{ kind: 'whole', configuration }];
  }
}

// Internals.

/** Whether a mark is above the required one, or equal to it with the same digest. */
function hasReached(mark: VersionMark, required: VersionMark): boolean {
  if (mark.version === required.version) return mark.digest === required.digest;
  return mark.version > required.version;
}
