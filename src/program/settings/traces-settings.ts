/** The section `[traces]`. */
import { z } from 'zod';

/** Settings of tracing. */
export interface TracesSettings {
  /** The URL for the export of spans by OTLP over HTTP; undefined exports nothing. */
  readonly otlpUrl: string | undefined;
  /** Fraction of calls without a `traceparent` that start a trace, from 0 to 1. */
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
