/** Lines of a job: one item each. */
import { MessageCode, Verdict } from "../schema/mod.js";
import { ServingError } from "../sys/errors.js";
/** Parses the line of an item. */
export function parseItemLine(line, number) {
    try {
        const value = JSON.parse(new TextDecoder().decode(line));
        if (typeof value === "object" && value !== null && !Array.isArray(value)) {
            const hasBody = typeof value.body === "object" && value.body !== null;
            const customId = String(value.custom_id ?? "");
            return { customId, body: hasBody ? value.body : value };
        }
    }
    catch {
        // Reported below, with the line's number.
    }
    throw new ServingError(MessageCode.BODY_MALFORMED, {
        verdict: Verdict.NOT_RUN,
        parameters: { reason: `line ${number} is not a JSON object` },
    });
}
//# sourceMappingURL=item_line.js.map