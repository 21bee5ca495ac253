/**
 * Messages between the system's own processes.
 *
 * Each struct has the fields of the tuple of the same name in core/data.py or
 * runs/messages.py, in the same order; wire/codec.py refuses to load otherwise. After a
 * change run, from the root:
 *
 *   thrift --gen py:slots,dynamic -out gypsumspoke/wire gypsumspoke/wire/gypsumspoke.thrift
 *
 * Rules for a change: a field number is never used again for something else, a new
 * field is optional, and PROTOCOL_VERSION in wire/hello.py grows when an old process
 * could misread a new message. "service" is a reserved word of the language, so the
 * field is called service_name here.
 */
namespace py generated

/** Microseconds since 1970-01-01T00:00:00Z. */
typedef i64 TimeMicros

/** Microseconds. */
typedef i64 DurationMicros

/** Value of the enum of that name in core; an unknown one makes the frame invalid. */
typedef string OutcomeName
typedef string TaskStateName
typedef string WorkName
typedef string ErrorKindName

/** First on each connection, in both directions. Field numbers here never change. */
struct Hello {
  1: i64 protocol_version
  2: string incarnation
  3: string worker
  4: i64 partition_count
}

/** Rates of one team, in tasks per second. */
struct TeamRates {
  1: string team
  2: double offered
  3: double admitted
}

/** Identity of a submission: the team and the caller's idempotency key. */
struct JobKey {
  1: string team
  2: string key
}

/** One task of a job: the body for the upstream and the declared run time. */
struct Task {
  1: binary body
  2: optional DurationMicros declared
}

/** A job as the caller sent it. */
struct Submission {
  1: JobKey key
  2: TimeMicros birth
  3: i64 attempt
  4: string service_name
  5: TimeMicros deadline
  6: bool not_repeatable
  7: list<Task> tasks
  8: binary digest
}

/** Entry to home: one copy of a submission. Safe to send again. */
struct SubmitJob {
  1: string request
  2: i64 partition
  3: Submission submission
  4: bool wait
}

/** Entry to home: what became of this key. */
struct QueryJob {
  1: string request
  2: i64 partition
  3: JobKey key
}

/** Entry to home: start nothing more of this key. */
struct CancelJob {
  1: string request
  2: i64 partition
  3: JobKey key
}

/** The final answer to a submission. */
struct Answer {
  1: optional ErrorKindName kind
  2: WorkName work
  3: list<binary> results
  4: list<OutcomeName> outcomes
  5: optional i64 next_attempt
  6: optional DurationMicros retry_after
  7: string detail
}

/** Home to entry: the answer to one SubmitJob, QueryJob or CancelJob. */
struct JobAnswer {
  1: string request
  2: JobKey key
  3: Answer answer
}

/** One try to run one task at one executor. */
struct AttemptId {
  1: JobKey key
  2: i64 task
  3: i64 number
  4: i64 epoch
}

/** Home to executor: run one task, at most once. */
struct StartTask {
  1: AttemptId attempt
  2: i64 partition
  3: i64 submission_attempt
  4: TimeMicros birth
  5: binary digest
  6: i64 task_count
  7: string service_name
  8: TimeMicros deadline
  9: bool not_repeatable
  10: binary body
}

/** Home to executor, after silence or a takeover: what became of this try. */
struct AskAttempt {
  1: AttemptId attempt
  2: i64 partition
}

/** Home to executor: don't start this try if it still waits. */
struct CancelTask {
  1: AttemptId attempt
  2: i64 partition
}

/** What an executor says about itself on each answer. */
struct Load {
  1: i64 running
  2: i64 queued
  3: i64 slots
  4: optional DurationMicros mean_run
}

/** Executor to home: the end of one try. */
struct TaskOutcome {
  1: AttemptId attempt
  2: OutcomeName outcome
  3: binary result
  4: string reason
  5: Load load
  6: optional DurationMicros run_time
}

/** Executor to home: the answer to AskAttempt while the try waits or runs. */
struct TaskRunning {
  1: AttemptId attempt
  2: Load load
}

/** New home to executor: refuse epochs below this one and say what you know. */
struct Fence {
  1: i64 partition
  2: i64 epoch
}

/** An executor's memory of one started task. */
struct StartRecord {
  1: AttemptId attempt
  2: i64 submission_attempt
  3: TimeMicros birth
  4: binary digest
  5: i64 task_count
  6: TaskStateName state
  7: optional binary result
}

/** A job that got a final answer other than complete; nothing of it may start. */
struct ClosedRecord {
  1: JobKey key
  2: TimeMicros birth
  3: i64 submission_attempt
  4: binary digest
  5: ErrorKindName kind
}

/** Executor to new home: fenced; one chunk of all it knows of the partition. */
struct FenceAck {
  1: i64 partition
  2: i64 epoch
  3: string incarnation
  4: i64 chunk
  5: i64 chunks
  6: list<StartRecord> started
  7: list<ClosedRecord> closed
  8: list<string> covers
  9: TimeMicros forgotten_before
}

/** Executor to home: this executor has promised a higher epoch. */
struct FenceRefused {
  1: i64 partition
  2: i64 epoch
  3: i64 highest
}

/** Home to executor: confirm the epoch, and keep these final refusals. */
struct CloseJob {
  1: i64 partition
  2: i64 epoch
  3: i64 confirmation
  4: list<ClosedRecord> closed
}

/** Executor to home: the epoch was current here and the records are kept. */
struct CloseAck {
  1: i64 partition
  2: i64 epoch
  3: i64 confirmation
}

/** Keep another executor's records of a partition as if they were one's own. */
struct Remember {
  1: i64 partition
  2: i64 epoch
  3: string source
  4: i64 chunk
  5: i64 chunks
  6: list<StartRecord> started
  7: list<ClosedRecord> closed
  8: list<string> covers
  9: TimeMicros forgotten_before
}

/** All chunks of a Remember are kept. */
struct RememberAck {
  1: i64 partition
  2: string source
}

/** A "not run" that a home gave; a copy up to this attempt stays refused. */
struct RefusedRecord {
  1: JobKey key
  2: TimeMicros birth
  3: i64 submission_attempt
  4: ErrorKindName kind
}

/** A final answer that a home keeps. */
struct FinishedRecord {
  1: JobKey key
  2: TimeMicros birth
  3: i64 submission_attempt
  4: binary digest
  5: Answer answer
}

/** Leaving home to next home: one chunk of the ledger of a partition. */
struct Handoff {
  1: i64 partition
  2: i64 epoch
  3: i64 version
  4: i64 chunk
  5: i64 chunks
  6: TimeMicros floor
  7: optional TimeMicros lossy_before
  8: TimeMicros forgotten_before
  9: list<RefusedRecord> refused
  10: list<FinishedRecord> finished
}

/** Next home to leaving home: it owns the partition now, or never will. */
struct HandoffAck {
  1: i64 partition
  2: i64 epoch
  3: bool taken
}

/** Any process to a peer: I am here, and this is how far I know. */
struct Heartbeat {
  1: string incarnation
  2: TimeMicros clock
  3: i64 manifest_version
  4: i64 members_version
  5: i64 partitions_version
  6: optional Load load
  7: bool leaving
  8: bool answer
}

/** Send me your manifest if it is newer than this version. */
struct ManifestRequest {
  1: i64 version
}

/** A manifest as it stands in the platform's table. */
struct ManifestUpdate {
  1: i64 version
  2: string text
}

/** Entry to entries: tasks that each team started in the last interval. */
struct TeamUsage {
  1: string incarnation
  2: i64 sequence
  3: list<TeamRates> usage
}

/** Names of the enums of runs/values.py. */
typedef string RunEndName
typedef string EndReasonName

/** What a task needs, or a worker has. */
struct Room {
  1: i64 cpu
  2: i64 memory
  3: i64 gpu
}

/** Name of a task of a best-effort job. */
struct TaskId {
  1: string job
  2: i64 step
  3: i64 index
}

/** One start of a task. */
struct RunId {
  1: TaskId task
  2: i64 number
}

/** Sidecar to entry: its worker and the room left. */
struct WorkerReport {
  1: DurationMicros stamp
  2: string worker
  3: string service_name
  4: list<string> labels
  5: bool takes_work
  6: bool clean
  7: Room capacity
  8: Room free
  9: double pace
  10: bool failing
  11: i64 taken
  12: i64 entries
  13: bool partial
  14: bool cordoned
  15: optional DurationMicros leaves_in
}

/** Entry to sidecar: acknowledges a report, and keeps the entry's runs alive. */
struct ReportAck {
  1: DurationMicros heard
  2: i64 sidecars
}

/** Entry to sidecar: start this run when there is room. */
struct PlaceRun {
  1: DurationMicros heard
  2: RunId run
  3: Room room
  4: i64 priority
  5: DurationMicros estimate
  6: DurationMicros within
  7: string spec
  8: optional DurationMicros due
}

/** Entry to sidecar: don't start this run, or stop it. */
struct WithdrawRun {
  1: RunId run
}

/** Entry to sidecar: what became of this run? */
struct AskRun {
  1: RunId run
}

/** Sidecar to entry: the end of a run. */
struct RunEnded {
  1: RunId run
  2: RunEndName end
  3: EndReasonName reason
  4: optional DurationMicros took
  5: i64 highest
}

/** To a peer: the addresses of all entries that the sender knows. */
struct KnownEntries {
  1: list<string> addresses
  2: string own
}

/** The failure domains that take no new runs, as of a revision of the store. */
struct Cordons {
  1: i64 revision
  2: i64 since
  3: list<string> domains
}

/** Entry to a peer: the version of the configuration in force, and the cordons. */
struct ConfigurationOffer {
  1: i64 version
  2: Cordons cordons
}

/** Between entries: send the text of your configuration. */
struct ConfigurationRequest {
}

/** Between entries: the whole configuration. */
struct ConfigurationText {
  1: i64 version
  2: string text
}

/** What a frame holds: exactly one of these. */
union Message {
  1: Hello hello
  2: SubmitJob submit_job
  3: QueryJob query_job
  4: CancelJob cancel_job
  5: JobAnswer job_answer
  6: StartTask start_task
  7: AskAttempt ask_attempt
  8: CancelTask cancel_task
  9: TaskOutcome task_outcome
  10: TaskRunning task_running
  11: Fence fence
  12: FenceAck fence_ack
  13: FenceRefused fence_refused
  14: CloseJob close_job
  15: CloseAck close_ack
  16: Remember remember
  17: RememberAck remember_ack
  18: Handoff handoff
  19: HandoffAck handoff_ack
  20: Heartbeat heartbeat
  21: ManifestRequest manifest_request
  22: ManifestUpdate manifest_update
  23: TeamUsage team_usage
  24: WorkerReport worker_report
  25: ReportAck report_ack
  26: PlaceRun place_run
  27: WithdrawRun withdraw_run
  28: AskRun ask_run
  29: RunEnded run_ended
  30: KnownEntries known_entries
  31: ConfigurationOffer configuration_offer
  32: ConfigurationRequest configuration_request
  33: ConfigurationText configuration_text
}
