/** The interfaces towards callers, backend servers and operators, which an adapter may replace. */
import { readFileSync } from 'node:fs';
import type { AnnounceFront, CallFront, OperatorFront } from '../edge/index.js';
import { NoteFront, OwnAnnounceFront, OwnCallFront } from '../edge/index.js';
import type { SourceSettings } from './settings.js';

/**
 * Creates the fronts of a process.
 *
 * Extend this class to run the program behind other interfaces; `platform/` is an example.
 */
export abstract class Fronts {
  /** Creates the front towards callers and, for calls, towards backend servers. */
  abstract createCallFront(): CallFront;

  /** Creates the front at which backend servers announce themselves. */
  abstract createAnnounceFront(): AnnounceFront;

  /** Creates the front towards operators. */
  abstract createOperatorFront(settings: SourceSettings): OperatorFront;
}

/** The product's own interfaces, as docs/OPERATORS.md describes them. */
export class OwnFronts extends Fronts {
  override createCallFront(): CallFront {
    return new OwnCallFront();
  }

  override createAnnounceFront(): AnnounceFront {
    return new OwnAnnounceFront();
  }

  override createOperatorFront({ tokenFile }: SourceSettings): OperatorFront {
    if (tokenFile === undefined)
      throw new Error('source.token_file is missing; write a secret into a file and name it');
    return new NoteFront(readFileSync(tokenFile, 'utf8').trim());
  }
}
