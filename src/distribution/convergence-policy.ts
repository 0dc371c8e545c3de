/** Spreads versions as fast as it can; control bytes come second. */
import { SpreadPolicy } from './distribution-policy.js';

/** Pushes at once over a wide tree, and advertises early and often. */
export class ConvergencePolicy extends SpreadPolicy {
  override readonly shape = { fanOut: 8, firstCount: 2 };
  override readonly advertisePeers = 2;
  override readonly joinsVersions = false;
  protected override readonly delays = {
    pushMs: 0,
    advertiseMs: 50,
    reportMs: 200,
    remindMs: 250,
    compareMs: 1_000,
  };
}
