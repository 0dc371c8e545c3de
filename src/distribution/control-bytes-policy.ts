/** Spreads versions with few bytes; convergence time comes second. */
import { SpreadPolicy } from './distribution-policy.js';

/** Joins versions that follow each other closely, over a narrow tree, and advertises sparingly. */
export class ControlBytesPolicy extends SpreadPolicy {
  override readonly shape = { fanOut: 4, firstCount: 1 };
  override readonly advertisePeers = 1;
  override readonly joinsVersions = true;
  protected override readonly delays = {
    pushMs: 400,
    advertiseMs: 500,
    reportMs: 1_000,
    remindMs: 1_000,
    compareMs: 5_000,
  };
}
