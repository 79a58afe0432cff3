/** What an item knows about the end of its output, from answers that break off. */
import { expect } from "chai";
import { ItemProgress } from "../fleet/item_progress.ts";
import { SeededRandom } from "../sys/random.ts";

describe("progress of an item", () => {
  // Guards against a text that ends early: two answers that ended with their connections
  // and brought nothing counted as one after the other, though another one had brought
  // events in between and had broken off.
  it("is not at its end after empty answers at two events", () => {
    const progress = new ItemProgress({ random: new SeededRandom(1) });
    const read = (bytes: string) => {
      progress.startAnswer();
      progress.appendChunk(Buffer.from(bytes));
    };
    const isEndKnown = (startEvent: number) =>
      progress.recordEnd(startEvent, { isDelimited: false });
    read("id: 1\ndata: a\n\n");
    read("");
    expect(isEndKnown(1)).equal(false);
    read("id: 2\ndata: b\n\nid: 3\nda");
    read("");
    expect(isEndKnown(2)).equal(false);
    read("");
    expect(isEndKnown(2)).equal(true);
  });
});
