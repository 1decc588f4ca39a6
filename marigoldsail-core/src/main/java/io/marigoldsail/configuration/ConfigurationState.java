package io.marigoldsail.configuration;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableSortedMap;
import io.marigoldsail.log.Position;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Everything that is known of the configuration up to one place in the stream.
 *
 * <p>Immutable, safe for any thread. Two revisions are told apart: the accepted one, up to which
 * the order of publishes is known, and the one in force, which is lower while a file was written by
 * a newer version of this software and cannot be understood here.
 */
public final class ConfigurationState {
  /** The state before anything is published. */
  public static final ConfigurationState EMPTY =
      new ConfigurationState(
          0,
          new Position(0, 0),
          ConfigurationFiles.NONE,
          ImmutableSortedMap.of(),
          ImmutableSortedMap.of(),
          0,
          ConfigurationFiles.NONE,
          ConfigurationHistory.EMPTY);

  private final long revision;
  private final Position nextPosition;
  private final ConfigurationFiles files;
  private final ImmutableSortedMap<String, Long> fileRevisions;
  private final ImmutableSortedMap<String, Integer> schemas;
  private final long revisionInForce;
  private final ConfigurationFiles filesInForce;
  private final ConfigurationHistory history;

  @SuppressWarnings("TooManyParameters") // the state's parts, set by the fold and its JSON alone
  ConfigurationState(
      long revision,
      Position nextPosition,
      ConfigurationFiles files,
      Map<String, Long> fileRevisions,
      Map<String, Integer> schemas,
      long revisionInForce,
      ConfigurationFiles filesInForce,
      ConfigurationHistory history) {
    this.revision = revision;
    this.nextPosition = requireNonNull(nextPosition, "nextPosition");
    this.files = requireNonNull(files, "files");
    this.fileRevisions = ImmutableSortedMap.copyOf(fileRevisions);
    this.schemas = ImmutableSortedMap.copyOf(schemas);
    this.revisionInForce = revisionInForce;
    this.filesInForce = requireNonNull(filesInForce, "filesInForce");
    this.history = requireNonNull(history, "history");
  }

  /** Returns the number of publishes accepted so far. */
  public long revision() {
    return revision;
  }

  /** Returns the latest revision that is in force in this process. */
  public long revisionInForce() {
    return revisionInForce;
  }

  /** Returns the revision that last changed a file; 0 if none did. */
  public long fileRevision(String file) {
    return fileRevisions.getOrDefault(file, 0L);
  }

  /** Returns the names of all files, with the revision that last changed each. */
  public ImmutableSortedMap<String, Long> fileRevisions() {
    return fileRevisions;
  }

  /** Returns a file's latest accepted content. */
  public Optional<JsonNode> content(String file) {
    return files.content(file);
  }

  /** Returns what is in force at a site. */
  public Configuration configuration(String site) {
    return ConfigurationParser.parse(revisionInForce, site, filesInForce.merged(site));
  }

  /** Returns every effective value at a site and the file that set it. */
  public List<EffectiveValue> effectiveValues(String site) {
    return ConfigurationView.effectiveValues(filesInForce, site);
  }

  /** Returns the publishes still kept, oldest first. */
  public List<PublishedVersion> history() {
    return history.versions();
  }

  /** Returns the publish that made a revision, if still kept. */
  public Optional<PublishedVersion> version(long ofRevision) {
    return history.byRevision(ofRevision);
  }

  ConfigurationHistory fullHistory() {
    return history;
  }

  /** Returns the first place in the stream that this state has not seen. */
  Position nextPosition() {
    return nextPosition;
  }

  ConfigurationFiles files() {
    return files;
  }

  ConfigurationFiles filesInForce() {
    return filesInForce;
  }

  ImmutableSortedMap<String, Integer> schemas() {
    return schemas;
  }

  ConfigurationState withNextPosition(Position next) {
    return new ConfigurationState(
        revision, next, files, fileRevisions, schemas, revisionInForce, filesInForce, history);
  }

  /** Returns the state after an accepted publish; in force if all files are understood. */
  ConfigurationState withAccepted(PublishedVersion version, int schema, int understoodSchema) {
    Map<String, Long> newRevisions = new TreeMap<>(fileRevisions);
    newRevisions.put(version.file(), version.revision());
    Map<String, Integer> newSchemas = new TreeMap<>(schemas);
    newSchemas.put(version.file(), schema);
    ConfigurationFiles newFiles = files.with(version.file(), version.content().orElseThrow());
    boolean understood = newSchemas.values().stream().allMatch(s -> s <= understoodSchema);
    return new ConfigurationState(
        version.revision(),
        nextPosition,
        newFiles,
        newRevisions,
        newSchemas,
        understood ? version.revision() : revisionInForce,
        understood ? newFiles : filesInForce,
        history.with(version));
  }
}
