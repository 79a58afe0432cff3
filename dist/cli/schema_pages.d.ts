/** The page of all settings. */
export declare function createSettingsPage(): string;
/** The page of all messages. */
export declare function createMessagesPage(): string;
