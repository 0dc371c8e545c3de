/** The section `[spread]`. */
import { z } from 'zod';

/** The measure that the distribution of versions optimises. */
export type DistributionPolicyName = 'convergence-time' | 'control-bytes';

/** Settings of the distribution of versions. They must be equal in all processes of a fleet. */
export interface DistributionSettings {
  readonly policy: DistributionPolicyName;
}

/** Checks the section `[spread]`. */
export const distributionSchema = z.strictObject({
  policy: z.enum(['convergence-time', 'control-bytes']).default('convergence-time'),
});
