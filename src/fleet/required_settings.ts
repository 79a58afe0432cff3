/**
 * Settings that hosts of a role cannot do without. A settings file that is read
 * while it is written may lack its last lines, and a host without a data folder
 * would take the working directory for an empty one.
 */
import type { FleetSettings } from "../schema/mod.ts";

const REQUIRED = {
  gateway: { listen: "listen", readyListen: "ready_listen" },
  control: { listen: "listen", dataFolder: "data_folder" },
  store: { dataFolder: "data_folder" },
} as const;

/** Returns the keys that the host's role requires and that are not set. */
export function findMissingKeys(settings: FleetSettings): string[] {
  const required: Partial<Record<keyof FleetSettings, string>> =
    REQUIRED[settings.role as keyof typeof REQUIRED] ?? {};
  return Object.entries(required)
    .filter(([field]) => !settings[field as keyof FleetSettings])
    .map(([, key]) => key);
}
