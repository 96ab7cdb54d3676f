/** File system interface, so that tests can inject faults. */

/** A file opened for appending. */
export abstract class AppendFile {
	/** Appends bytes. They may be lost in a crash until `sync` has resolved. */
	abstract write(bytes: Uint8Array): Promise<void>;
	/** Flushes all written bytes to disk (fsync). */
	abstract sync(): Promise<void>;
	abstract truncate(lengthBytes: number): Promise<void>;
	abstract close(): Promise<void>;
}

/** File system operations that the storage needs. Paths are absolute. */
export abstract class FileSystem {
	/** Creates a folder and its missing parents. */
	abstract makeFolder(folder: string): Promise<void>;
	/** Names of the files in a folder. */
	abstract list(folder: string): Promise<string[]>;
	/** Reads a file; undefined if it does not exist. */
	abstract read(file: string): Promise<Uint8Array | undefined>;
	/** Opens a file for appending; creates it if it does not exist. */
	abstract openAppend(file: string): Promise<AppendFile>;
	abstract rename(from: string, to: string): Promise<void>;
	abstract remove(file: string): Promise<void>;
	/** Flushes a folder's entries to disk, so that created, renamed and removed files survive a crash. */
	abstract syncFolder(folder: string): Promise<void>;
}
