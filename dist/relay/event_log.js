/**
 * Events of a completion as they arrived. They are kept as bytes and read only
 * when somebody needs their text: to resume elsewhere, or for a whole answer.
 */
import { createParser } from "eventsource-parser";
/** Data of the event that ends a stream. */
const DONE_DATA = "[DONE]";
/** The text that an event of a completion adds. */
export function getEventToken(data) {
    try {
        const choice = JSON.parse(data).choices?.[0];
        return choice?.text ?? choice?.delta?.content ?? "";
    }
    catch {
        return "";
    }
}
/** All events of one completion, over all attempts. */
export class EventLog {
    #chunks = [];
    #read = 0;
    #text;
    #tokens;
    #lastEvent = "";
    #parser = createParser({
        onEvent: ({ data }) => {
            if (data === DONE_DATA)
                return;
            const token = getEventToken(data);
            this.#lastEvent = data;
            this.#text += token;
            if (token !== "")
                this.#tokens += 1;
        },
    });
    /** Starts after `progress` that was made before. */
    constructor(progress = { text: "", tokens: 0 }) {
        this.#text = progress.text;
        this.#tokens = progress.tokens;
    }
    get isEmpty() {
        return this.#chunks.length === 0;
    }
    /** Takes whole events. */
    append(events) {
        this.#chunks.push(events);
    }
    /** Text and number of all tokens. */
    getProgress() {
        this.#readAll();
        return { text: this.#text, tokens: this.#tokens };
    }
    /** Data of the newest event that was not the end mark. */
    getLastEvent() {
        this.#readAll();
        return this.#lastEvent;
    }
    /** All events as they arrived. */
    getBytes() {
        return Buffer.concat(this.#chunks);
    }
    #readAll() {
        const decoder = new TextDecoder();
        this.#chunks.slice(this.#read).forEach((chunk) => this.#parser.feed(decoder.decode(chunk)));
        this.#read = this.#chunks.length;
    }
}
//# sourceMappingURL=event_log.js.map