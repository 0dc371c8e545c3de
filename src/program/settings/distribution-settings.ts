/** The section `[spread]`. */
import { z } from 'zod';

/** Which figure the distribution of versions favours. */
export type SpreadPolicyName = 'convergence-time' | 'control-bytes';

/** Settings of the distribution of versions. Every process of a fleet has the same. */
export interface SpreadSettings {
  readonly policy: SpreadPolicyName;
}

/** Checks the section `[spread]`. */
export const spreadSchema = z.strictObject({
  policy: z.enum(['convergence-time', 'control-bytes']).default('convergence-time'),
});
