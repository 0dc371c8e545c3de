/** Distribution policy that minimizes control bytes at the cost of convergence time. */
import { DistributionPolicy } from './distribution-policy.js';

/** Merges versions that are committed in quick succession, uses a narrow tree and advertises rarely. */
export class ControlBytesPolicy extends DistributionPolicy {
  override readonly shape = { fanOut: 4, rootCount: 1 };
  override readonly advertisedPeerCount = 1;
  override readonly mergesVersions = true;
  protected override readonly delays = {
    pushMs: 400,
    advertiseMs: 500,
    reportMs: 1_000,
    remindMs: 1_000,
    compareMs: 5_000,
  };
}
