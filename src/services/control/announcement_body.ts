/** Decodes the announcements that backend servers send. */
import { fromJson, type JsonValue } from "@bufbuild/protobuf";
import { isServerAddress } from "../../membership/mod.ts";
import {
  type Announcement,
  AnnouncementSchema,
  MessageCode,
} from "../../schema/mod.ts";
import { getReason, ServingError } from "../../sys/errors.ts";

/** Decodes an announcement from JSON; throws BODY_MALFORMED if it is invalid. */
export function parseAnnouncement(bytes: Uint8Array): Announcement {
  try {
    const value = JSON.parse(new TextDecoder().decode(bytes)) as JsonValue;
    const announcement = fromJson(AnnouncementSchema, value, {
      ignoreUnknownFields: true,
    });
    if (announcement.name !== "" && isServerAddress(announcement.address)) {
      return announcement;
    }
  } catch (error) {
    throw createMalformedError(getReason(error));
  }
  throw createMalformedError("a name and an address with a port are required");
}

function createMalformedError(reason: string): ServingError {
  return new ServingError(MessageCode.BODY_MALFORMED, {
    parameters: { reason },
  });
}
