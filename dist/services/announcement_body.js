/** Announcements as backend servers write them. */
import { fromJson } from "@bufbuild/protobuf";
import { AnnouncementSchema, MessageCode, } from "../schema/mod.js";
import { getReason, ServingError } from "../sys/errors.js";
/** Reads an announcement's JSON; a bad one is BODY_MALFORMED. */
export function parseAnnouncement(bytes) {
    try {
        const value = JSON.parse(new TextDecoder().decode(bytes));
        const announcement = fromJson(AnnouncementSchema, value, {
            ignoreUnknownFields: true,
        });
        if (announcement.name !== "" && announcement.address !== "") {
            return announcement;
        }
    }
    catch (error) {
        throw createMalformed(getReason(error));
    }
    throw createMalformed("name and address are required");
}
function createMalformed(reason) {
    return new ServingError(MessageCode.BODY_MALFORMED, {
        parameters: { reason },
    });
}
//# sourceMappingURL=announcement_body.js.map