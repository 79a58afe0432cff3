/** Lines of a job: one item each. */
import { MessageCode, Verdict } from "../../schema/mod.ts";
import { ServingError } from "../../sys/errors.ts";

/** An item's line: a body alone, or with an id of the caller's. */
export interface ItemLine {
  readonly customId: string;
  readonly body: Record<string, unknown>;
}

/** Parses the line of an item. */
export function parseItemLine(line: Uint8Array, lineNumber: number): ItemLine {
  try {
    const value = JSON.parse(new TextDecoder().decode(line));
    if (typeof value === "object" && value !== null && !Array.isArray(value)) {
      const hasBody = typeof value.body === "object" && value.body !== null;
      const customId = String(value.custom_id ?? "");
      return { customId, body: hasBody ? value.body : value };
    }
  } catch {
    // Reported below, with the line's number.
  }
  throw new ServingError(MessageCode.BODY_MALFORMED, {
    verdict: Verdict.NOT_RUN,
    parameters: { reason: `line ${lineNumber} is not a JSON object` },
  });
}
