/** Parsing of a job's lines, each of which describes one item. */
import { MessageCode, Verdict } from "../../schema/mod.ts";
import { ServingError } from "../../sys/errors.ts";

/** An item's line: a request body, optionally with an id set by the caller. */
export interface ItemLine {
  readonly customId: string;
  readonly body: Record<string, unknown>;
}

/** Parses an item's line; throws BODY_MALFORMED if it is not a JSON object. */
export function parseItemLine(line: Uint8Array, lineNumber: number): ItemLine {
  try {
    const value = JSON.parse(new TextDecoder().decode(line));
    if (typeof value === "object" && value !== null && !Array.isArray(value)) {
      const hasBody = typeof value.body === "object" && value.body !== null;
      const customId = String(value.custom_id ?? "");
      return { customId, body: hasBody ? value.body : value };
    }
  } catch {
    // Reported below with the line number.
  }
  throw new ServingError(MessageCode.BODY_MALFORMED, {
    verdict: Verdict.NOT_RUN,
    parameters: { reason: `line ${lineNumber} is not a JSON object` },
  });
}
