/**
 * Removes the parts of an update that cannot be encoded. An update holds all
 * servers, so that one value out of its type's range would otherwise keep back
 * everything else.
 */
import {
  create,
  type DescMessage,
  type MessageShape,
  toBinary,
} from "@bufbuild/protobuf";
import { type FleetUpdate, FleetUpdateSchema } from "../schema/mod.ts";
import { getReason } from "../sys/errors.ts";

/** Called with a part that is left out. */
export type RemovedPartListener = (
  part: { readonly field: string; readonly name: string },
  reason: string,
) => void;

/** Returns an update without the parts that cannot be encoded. */
export function removeUnencodableParts(
  update: FleetUpdate,
  onRemoved: RemovedPartListener,
): FleetUpdate {
  const values = update as unknown as Record<string, unknown>;
  const kept = FleetUpdateSchema.fields.flatMap((field) => {
    const schema = field.message;
    const value = values[field.localName];
    if (schema === undefined || value === undefined) {
      return [[field.localName, value]];
    }
    const isEncodable = (part: unknown) => {
      const reason = tryFindEncodingError(schema, part);
      if (reason === undefined) return true;
      onRemoved({ field: field.localName, name: getName(part) }, reason);
      return false;
    };
    if (Array.isArray(value)) {
      return [[field.localName, value.filter(isEncodable)]];
    }
    return isEncodable(value) ? [[field.localName, value]] : [];
  });
  return create(FleetUpdateSchema, Object.fromEntries(kept));
}

function tryFindEncodingError(
  schema: DescMessage,
  value: unknown,
): string | undefined {
  try {
    toBinary(schema, value as MessageShape<DescMessage>);
    return undefined;
  } catch (error) {
    return getReason(error);
  }
}

/** Name of a part for log lines. */
function getName(part: unknown): string {
  const { id, fingerprint, part: key, server } = part as {
    readonly id?: string;
    readonly fingerprint?: string;
    readonly part?: string;
    readonly server?: { readonly id: string };
  };
  return id ?? fingerprint ?? key ?? server?.id ?? "";
}
