/** Selects the distribution policy by its name in the settings. */
import { ControlBytesPolicy } from './control-bytes-policy.js';
import { ConvergencePolicy } from './convergence-policy.js';
import type { DistributionPolicy, DistributionPolicyName } from './distribution-policy.js';

/** Creates the policy with the given name. */
export function makePolicy(name: DistributionPolicyName): DistributionPolicy {
  switch (name) {
    case 'convergence-time':
      return new ConvergencePolicy();
    case 'control-bytes':
      return new ControlBytesPolicy();
  }
}
