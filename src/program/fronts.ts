/** The interfaces to callers, backend servers and operators. An adapter can replace them. */
import { readFileSync } from 'node:fs';
import type { AnnounceFront, CallFront, OperatorFront } from '../edge/index.js';
import { DefaultOperatorFront, DefaultAnnounceFront, DefaultCallFront } from '../edge/index.js';
import type { SourceSettings } from './settings.js';

/**
 * Creates the fronts of a process.
 *
 * Extend this class to give the program other interfaces; see `platform/` for an example.
 */
export abstract class Fronts {
  /** Creates the front for callers and for calls to backend servers. */
  abstract createCallFront(): CallFront;

  /** Creates the front for announcements of backend servers. */
  abstract createAnnounceFront(): AnnounceFront;

  /** Creates the front for operators. */
  abstract createOperatorFront(settings: SourceSettings): OperatorFront;
}

/** The default interfaces of the product, described in docs/OPERATORS.md. */
export class DefaultFronts extends Fronts {
  override createCallFront(): CallFront {
    return new DefaultCallFront();
  }

  override createAnnounceFront(): AnnounceFront {
    return new DefaultAnnounceFront();
  }

  override createOperatorFront({ tokenFile }: SourceSettings): OperatorFront {
    if (tokenFile === undefined)
      throw new Error(
        'source.token_file is missing; write a secret to a file and set the key to its path',
      );
    return new DefaultOperatorFront(readFileSync(tokenFile, 'utf8').trim());
  }
}
