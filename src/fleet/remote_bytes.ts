/** Counts the bytes that a process exchanges with other data centres, by kind. */
import { MetricName, type Metrics } from "../sys/metrics.ts";

/** What bytes between data centres belong to. */
export const RemoteByteKind = {
  /** Requests to backend servers. */
  requests: "requests",
  /** Responses of backend servers. */
  responses: "responses",
  /** Requests and responses passed on between gateways. */
  relayed: "relayed",
} as const;

/** One of {@linkcode RemoteByteKind}. */
export type RemoteByteKind = typeof RemoteByteKind[keyof typeof RemoteByteKind];

/** Called with bytes that went to or came from a data centre. */
export type ByteCounter = (
  dataCentre: string,
  kind: RemoteByteKind,
  bytes: number,
) => void;

/** Separators and line end of one header line: ": " and CRLF. */
const HEADER_OVERHEAD_BYTES = 4;

/** Creates a counter that ignores what stays in `ownDataCentre`. */
export function createRemoteByteCounter(
  ownDataCentre: string,
  metrics: Metrics,
): ByteCounter {
  return (dataCentre, kind, bytes) => {
    if (dataCentre === ownDataCentre) return;
    metrics.count(MetricName.remoteBytes, bytes, { kind });
  };
}

/** Bytes of headers, given as alternating names and values. */
export function getHeaderBytes(headers: readonly string[]): number {
  return headers.reduce((sum, text) => sum + text.length, 0) +
    headers.length / 2 * HEADER_OVERHEAD_BYTES;
}

/** Passes chunks on and reports their total size when they end. */
export async function* countChunks(
  chunks: AsyncIterable<Buffer>,
  onEnd: (bytes: number) => void,
): AsyncIterable<Buffer> {
  let bytes = 0;
  try {
    for await (const chunk of chunks) {
      bytes += chunk.length;
      yield chunk;
    }
  } finally {
    onEnd(bytes);
  }
}
