/** The sections `[source.rollouts]` and `[proxy.rollouts]`. */
import { z } from 'zod';

/** The bounds of roll-outs, if the deployment has them. */
export interface RolloutSettings {
  /** The maximum share of a service's calls that a bad version may get between an order and its deadline. */
  readonly exposureShare: number;
  /** The calls that a bad version may get beyond this share. */
  readonly exposureSlack: number;
  /** Time in milliseconds within which calls to a bad version end. */
  readonly rollbackMs: number;
}

const MAX_ROLLBACK_SECONDS = 3_600;
const DEFAULT_EXPOSURE_SLACK = 50;
const DEFAULT_ROLLBACK_SECONDS = 5;
const MS_PER_SECOND = 1_000;

/** Checks a section of roll-outs. A deployment has roll-outs if `exposure_share` is set. */
export const rolloutsSchema = z
  .strictObject({
    exposure_share: z.number().positive().max(1).optional(),
    exposure_slack: z.number().min(0).default(DEFAULT_EXPOSURE_SLACK),
    rollback_seconds: z
      .number()
      .positive()
      .max(MAX_ROLLBACK_SECONDS)
      .default(DEFAULT_ROLLBACK_SECONDS),
  })
  .transform((section): RolloutSettings | undefined => {
    const { exposure_share: exposureShare, exposure_slack: exposureSlack } = section;
    if (exposureShare === undefined) return undefined;
    return { exposureShare, exposureSlack, rollbackMs: section.rollback_seconds * MS_PER_SECOND };
  });
