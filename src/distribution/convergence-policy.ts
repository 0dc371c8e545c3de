/** Distribution policy that minimizes convergence time at the cost of control bytes. */
import { DistributionPolicy } from './distribution-policy.js';

/** Pushes without delay over a wide tree and advertises early and often. */
export class ConvergencePolicy extends DistributionPolicy {
  override readonly shape = { fanOut: 8, rootCount: 2 };
  override readonly advertisedPeerCount = 2;
  override readonly mergesVersions = false;
  protected override readonly delays = {
    pushMs: 0,
    advertiseMs: 50,
    reportMs: 200,
    remindMs: 250,
    compareMs: 250,
  };
}
