/** The section `[traces]`. */
import { z } from 'zod';

/** Settings of the traces. */
export interface TracesSettings {
  /** Where spans are exported to by OTLP over HTTP; nothing is exported without it. */
  readonly otlpUrl: string | undefined;
  /** The share of calls without a `traceparent` that begin a trace, from 0 to 1. */
  readonly sampleRatio: number;
}

const DEFAULT_SAMPLE_RATIO = 0.001;

/** Checks the section `[traces]`. */
export const tracesSchema = z
  .strictObject({
    otlp_url: z
      .url({
        protocol: /^https?$/,
        error: 'expected a URL such as "http://10.0.0.9:4318/v1/traces"',
      })
      .optional(),
    sample_ratio: z.number().min(0).max(1).default(DEFAULT_SAMPLE_RATIO),
  })
  .transform(({ otlp_url, sample_ratio }): TracesSettings => ({
    otlpUrl: otlp_url,
    sampleRatio: sample_ratio,
  }));
