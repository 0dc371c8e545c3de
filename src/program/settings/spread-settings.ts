/** The section `[spread]`. */
import { z } from 'zod';

/** The measure that the distribution of versions optimises. */
export type SpreadPolicyName = 'convergence-time' | 'control-bytes';

/** Settings of the distribution of versions. They must be equal in all processes of a fleet. */
export interface SpreadSettings {
  readonly policy: SpreadPolicyName;
}

/** Checks the section `[spread]`. */
export const spreadSchema = z.strictObject({
  policy: z.enum(['convergence-time', 'control-bytes']).default('convergence-time'),
});
