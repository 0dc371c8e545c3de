/** Chooses the spreading policy that the settings name. */
import { ControlBytesPolicy } from './control-bytes-policy.js';
import { ConvergencePolicy } from './convergence-policy.js';
import type { SpreadPolicy, SpreadPolicyName } from './distribution-policy.js';

/** Makes the policy of the given name. */
export function makePolicy(name: SpreadPolicyName): SpreadPolicy {
  switch (name) {
    case 'convergence-time':
      return new ConvergencePolicy();
    case 'control-bytes':
      return new ControlBytesPolicy();
  }
}
