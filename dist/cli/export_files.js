/**
 * An operator's results as readable files with a manifest of counts and
 * checksums. Each job is a file of its own, so that an export that was cut
 * short goes on where it stopped.
 */
import { createHash } from "node:crypto";
import { MessageCode, Operators } from "../schema/mod.js";
import { describeItem, describeJob, describeRequest } from "../services/mod.js";
import { getReason, ServingError } from "../sys/errors.js";
import { DiskFolder } from "../sys/files.js";
const MANIFEST_FILE = "manifest.json";
const JOBS_FILE = "jobs.jsonl";
const REQUESTS_FILE = "requests.jsonl";
function getJobFile(id) {
    return `job-${id}.jsonl`;
}
function toLines(rows) {
    return rows.map((row) => `${JSON.stringify(row)}\n`).join("");
}
function describeFile(name, bytes) {
    return {
        name,
        lines: bytes.filter((byte) => byte === 0x0a).length,
        sha256: createHash("sha256").update(bytes).digest("hex"),
    };
}
/** Exports all results of an operator into a folder. */
export async function exportOperator(client, options) {
    const folder = await DiskFolder.open(options.folder);
    const heads = await readHeads(client, options.operator);
    const encoder = new TextEncoder();
    const files = [];
    const unknown = [];
    let items = 0;
    for (const job of heads.jobs) {
        const name = getJobFile(job.id);
        // A job that has ended does not change: its file is written once.
        const stored = await folder.tryRead(name);
        const isKept = stored !== undefined && job.ended_ms !== null;
        const bytes = isKept ? stored : encoder.encode(toLines(await readItems(client, options.operator, String(job.id))));
        if (!isKept)
            await folder.replace(name, bytes);
        files.push(describeFile(name, bytes));
        const rows = parseLines(bytes);
        items += rows.length;
        unknown.push(...rows.filter((row) => row.verdict === "may have run")
            .map((row) => `${job.id}/${row.index}`));
    }
    unknown.push(...heads.requests.filter((row) => row.verdict === "may have run")
        .map((row) => `${row.caller}/${row.key}`));
    const jobsBytes = encoder.encode(toLines(heads.jobs));
    const requestBytes = encoder.encode(toLines(heads.requests));
    await folder.replace(JOBS_FILE, jobsBytes);
    await folder.replace(REQUESTS_FILE, requestBytes);
    const manifest = {
        operator: options.operator,
        jobs: heads.jobs.length,
        items,
        requests: heads.requests.length,
        unknown,
        running: heads.jobs.filter((job) => job.ended_ms === null)
            .map((job) => String(job.id)),
        files: [
            ...files,
            describeFile(JOBS_FILE, jobsBytes),
            describeFile(REQUESTS_FILE, requestBytes),
        ],
    };
    const text = `${JSON.stringify(manifest, undefined, 2)}\n`;
    await folder.replace(MANIFEST_FILE, encoder.encode(text));
    return manifest;
}
/** Checks an export's files against its manifest; throws EXPORT_INVALID. */
export async function verifyExport(path) {
    const folder = await DiskFolder.open(path);
    const manifest = await readManifest(folder);
    for (const file of manifest.files) {
        const bytes = await folder.tryRead(file.name);
        if (bytes === undefined)
            throw createInvalid(`${file.name} is missing`);
        const found = describeFile(file.name, bytes);
        if (found.sha256 !== file.sha256) {
            throw createInvalid(`${file.name} has another checksum`);
        }
    }
    const jobFiles = manifest.files.filter((file) => file.name.startsWith("job-"));
    const items = jobFiles.reduce((sum, file) => sum + file.lines, 0);
    if (items !== manifest.items || jobFiles.length !== manifest.jobs) {
        throw createInvalid("the counts differ from the files");
    }
    return manifest;
}
async function readManifest(folder) {
    const bytes = await folder.tryRead(MANIFEST_FILE);
    if (bytes === undefined)
        throw createInvalid(`${MANIFEST_FILE} is missing`);
    try {
        return JSON.parse(new TextDecoder().decode(bytes));
    }
    catch (error) {
        throw createInvalid(getReason(error));
    }
}
function createInvalid(reason) {
    return new ServingError(MessageCode.EXPORT_INVALID, {
        parameters: { reason },
    });
}
function parseLines(bytes) {
    return new TextDecoder().decode(bytes).split("\n")
        .filter((line) => line !== "").map((line) => JSON.parse(line));
}
function readHeads(client, operator) {
    const heads = { jobs: [], requests: [] };
    return new Promise((resolve, reject) => client.openStream(Operators.method.export, { operator }, {
        message: ({ record }) => {
            if (record.case === "job")
                heads.jobs.push(describeJob(record.value));
            if (record.case === "request") {
                heads.requests.push(describeRequest(record.value));
            }
        },
        end: (error) => error === undefined ? resolve(heads) : reject(error),
    }));
}
function readItems(client, operator, jobId) {
    const rows = [];
    return new Promise((resolve, reject) => client.openStream(Operators.method.export, { operator, jobId }, {
        message: ({ record }) => {
            if (record.case !== "item" || record.value.item === undefined)
                return;
            rows.push(describeItem(record.value.item, record.value.index));
        },
        end: (error) => error === undefined ? resolve(rows) : reject(error),
    }));
}
//# sourceMappingURL=export_files.js.map