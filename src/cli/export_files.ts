/**
 * An operator's results as readable files with a manifest of counts and
 * checksums. Each job is a file of its own, so that an export that was cut
 * short goes on where it stopped.
 */
import { createHash } from "node:crypto";
import { MessageCode, Operators } from "../schema/mod.ts";
import { describeItem, describeJob, describeRequest } from "../services/mod.ts";
import { getReason, ServingError } from "../sys/errors.ts";
import { DiskFolder } from "../sys/files.ts";
import type { RpcClient } from "../sys/rpc.ts";

const MANIFEST_FILE = "manifest.json";
const JOBS_FILE = "jobs.jsonl";
const REQUESTS_FILE = "requests.jsonl";

/** What a manifest says of one file. */
export interface ManifestFile {
  readonly name: string;
  readonly lines: number;
  readonly sha256: string;
}

/** The manifest of an export. */
export interface Manifest {
  readonly operator: string;
  readonly jobs: number;
  readonly items: number;
  readonly requests: number;
  /** Items and requests whose outcome is "may have run". */
  readonly unknown: string[];
  /** Jobs that had not ended when they were exported. */
  readonly running: string[];
  readonly files: ManifestFile[];
}

type JobDescription = ReturnType<typeof describeJob>;

interface ExportIndex {
  readonly jobs: JobDescription[];
  readonly requests: Record<string, unknown>[];
}

function getJobFileName(id: unknown): string {
  return `job-${id}.jsonl`;
}

function formatJsonLines(rows: readonly unknown[]): string {
  return rows.map((row) => `${JSON.stringify(row)}\n`).join("");
}

function describeFile(name: string, bytes: Uint8Array): ManifestFile {
  return {
    name,
    lines: bytes.filter((byte) => byte === 0x0a).length,
    sha256: createHash("sha256").update(bytes).digest("hex"),
  };
}

/** Exports all results of an operator into a folder. */
export async function exportOperator(
  client: RpcClient,
  options: { operator: string; folder: string },
): Promise<Manifest> {
  const folder = await DiskFolder.open(options.folder);
  const index = await readIndex(client, options.operator);
  const encoder = new TextEncoder();
  const files: ManifestFile[] = [];
  const unknown: string[] = [];
  let items = 0;
  for (const job of index.jobs) {
    const name = getJobFileName(job.id);
    // A job that has ended does not change: its file is written once.
    const stored = await folder.tryRead(name);
    const isReusable = stored !== undefined && job.ended_ms !== null;
    const bytes = isReusable ? stored : encoder.encode(formatJsonLines(
      await readItems(client, options.operator, String(job.id)),
    ));
    if (!isReusable) await folder.replace(name, bytes);
    files.push(describeFile(name, bytes));
    const rows = parseJsonLines(bytes);
    items += rows.length;
    unknown.push(
      ...rows.filter((row) => row.verdict === "may have run")
        .map((row) => `${job.id}/${row.index}`),
    );
  }
  unknown.push(
    ...index.requests.filter((row) => row.verdict === "may have run")
      .map((row) => `${row.caller}/${row.key}`),
  );
  const jobsBytes = encoder.encode(formatJsonLines(index.jobs));
  const requestBytes = encoder.encode(formatJsonLines(index.requests));
  await folder.replace(JOBS_FILE, jobsBytes);
  await folder.replace(REQUESTS_FILE, requestBytes);
  const manifest = {
    operator: options.operator,
    jobs: index.jobs.length,
    items,
    requests: index.requests.length,
    unknown,
    running: index.jobs.filter((job) => job.ended_ms === null)
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
export async function verifyExport(path: string): Promise<Manifest> {
  const folder = await DiskFolder.open(path);
  const manifest = await readManifest(folder);
  for (const file of manifest.files) {
    const bytes = await folder.tryRead(file.name);
    if (bytes === undefined) throw createExportError(`${file.name} is missing`);
    const actual = describeFile(file.name, bytes);
    if (actual.sha256 !== file.sha256) {
      throw createExportError(`${file.name} has another checksum`);
    }
  }
  const jobFiles = manifest.files.filter((file) =>
    file.name.startsWith("job-")
  );
  const items = jobFiles.reduce((sum, file) => sum + file.lines, 0);
  if (items !== manifest.items || jobFiles.length !== manifest.jobs) {
    throw createExportError("the counts differ from the files");
  }
  return manifest;
}

async function readManifest(folder: DiskFolder): Promise<Manifest> {
  const raw = await folder.tryRead(MANIFEST_FILE);
  if (raw === undefined) throw createExportError(`${MANIFEST_FILE} is missing`);
  try {
    return JSON.parse(new TextDecoder().decode(raw));
  } catch (error) {
    throw createExportError(getReason(error));
  }
}

function createExportError(reason: string): ServingError {
  return new ServingError(MessageCode.EXPORT_INVALID, {
    parameters: { reason },
  });
}

function parseJsonLines(bytes: Uint8Array): Record<string, unknown>[] {
  return new TextDecoder().decode(bytes).split("\n")
    .filter((line) => line !== "").map((line) => JSON.parse(line));
}

function readIndex(client: RpcClient, operator: string): Promise<ExportIndex> {
  const index: ExportIndex = { jobs: [], requests: [] };
  return new Promise((resolve, reject) =>
    client.openStream(Operators.method.export, { operator }, {
      message: ({ record }) => {
        if (record.case === "job") index.jobs.push(describeJob(record.value));
        if (record.case === "request") {
          index.requests.push(describeRequest(record.value));
        }
      },
      end: (error) => error === undefined ? resolve(index) : reject(error),
    })
  );
}

function readItems(
  client: RpcClient,
  operator: string,
  jobId: string,
): Promise<unknown[]> {
  const rows: unknown[] = [];
  return new Promise((resolve, reject) =>
    client.openStream(Operators.method.export, { operator, jobId }, {
      message: ({ record }) => {
        if (record.case !== "item" || record.value.item === undefined) return;
        rows.push(describeItem(record.value.item, record.value.index));
      },
      end: (error) => error === undefined ? resolve(rows) : reject(error),
    })
  );
}
