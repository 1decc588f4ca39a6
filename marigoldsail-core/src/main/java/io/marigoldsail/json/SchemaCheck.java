package io.marigoldsail.json;

import com.fasterxml.jackson.databind.JsonNode;
import com.networknt.schema.Error;
import com.networknt.schema.InputFormat;
import com.networknt.schema.Schema;
import com.networknt.schema.SchemaRegistry;
import com.networknt.schema.SpecificationVersion;
import com.networknt.schema.path.NodePath;
import io.marigoldsail.error.ErrorKind;
import io.marigoldsail.error.Failure;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/**
 * Holds documents against one published JSON schema and words what is wrong in one line.
 *
 * <p>Safe for any thread. Compiling the schema costs some milliseconds; keep the instance.
 */
public final class SchemaCheck {
  private static final int MAX_VALUE_LENGTH = 60;

  private final Schema schema;

  private SchemaCheck(Schema schema) {
    this.schema = schema;
  }

  /**
   * Returns a check against a schema that lies beside a class.
   *
   * @param anchor the class whose package holds the resource
   * @param resource the file's name
   */
  public static SchemaCheck ofResource(Class<?> anchor, String resource) {
    try (InputStream in = anchor.getResourceAsStream(resource)) {
      if (in == null) {
        throw new IllegalArgumentException("no resource " + resource + " beside " + anchor);
      }
      SchemaRegistry registry =
          SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12);
      return new SchemaCheck(registry.getSchema(in, InputFormat.JSON));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Returns what breaks the schema first, or empty if nothing does.
   *
   * @param origin the file's name, which opens the line
   * @return a failure of kind {@code INVALID_CONTENT} that names file, key and rule
   */
  public Optional<Failure> check(String origin, JsonNode document) {
    List<Error> errors = schema.validate(document);
    if (errors.isEmpty()) {
      return Optional.empty();
    }
    String line = origin + ": " + describe(errors.get(0));
    if (errors.size() > 1) {
      line += " (and " + (errors.size() - 1) + " more)";
    }
    return Optional.of(Failure.of(ErrorKind.INVALID_CONTENT, line));
  }

  private static String describe(Error error) {
    String key = dottedPath(error.getInstanceLocation());
    JsonNode rule = error.getSchemaNode();
    String found = abbreviate(error.getInstanceNode());
    String name = error.getProperty();
    return switch (error.getKeyword()) {
      case "additionalProperties" -> childKey(key, name) + ": unknown key";
      case "required" -> childKey(key, name) + ": is missing";
      case "type" -> key + ": must be " + describeTypes(rule) + ", is " + found + unitHint(rule);
      case "minimum" -> key + ": must be at least " + rule.asText() + ", is " + found;
      case "maximum" -> key + ": must be at most " + rule.asText() + ", is " + found;
      case "exclusiveMinimum" -> key + ": must be above " + rule.asText() + ", is " + found;
      case "enum" -> key + ": must be one of " + rule + ", is " + found;
      case "const" -> key + ": must be " + rule + ", is " + found;
      case "minItems" -> key + ": needs at least " + rule.asText() + " items";
      case "minLength" -> key + ": must not be empty";
      case "propertyNames" -> childKey(key, name) + ": is no name; names match [a-z0-9-]";
      case "pattern" -> key + ": must match " + rule.asText() + ", is " + found;
      default -> key + ": " + error.getMessage();
    };
  }

  private static String describeTypes(JsonNode rule) {
    if (!rule.isArray()) {
      return withArticle(rule.asText());
    }
    List<String> names = new ArrayList<>();
    rule.forEach(
        type -> names.add(type.asText().equals("null") ? "null" : withArticle(type.asText())));
    return String.join(" or ", names);
  }

  private static String unitHint(JsonNode rule) {
    String types = rule.toString();
    boolean number = types.contains("integer") || types.contains("number");
    return number ? "; give a plain number in the key's unit" : "";
  }

  private static String withArticle(String type) {
    boolean vowel = "aeiou".indexOf(type.toLowerCase(Locale.ROOT).charAt(0)) >= 0;
    return (vowel ? "an " : "a ") + type;
  }

  private static String abbreviate(JsonNode node) {
    String text = String.valueOf(node);
    if (text.length() <= MAX_VALUE_LENGTH) {
      return text;
    }
    return text.substring(0, MAX_VALUE_LENGTH) + "...";
  }

  private static String childKey(String key, String name) {
    return key.equals("the document") ? name : key + "." + name;
  }

  private static String dottedPath(NodePath path) {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < path.getNameCount(); i++) {
      Object element = path.getElement(i);
      if (element instanceof Integer index) {
        text.append('[').append(index).append(']');
      } else {
        text.append(text.length() == 0 ? "" : ".").append(element);
      }
    }
    return text.length() == 0 ? "the document" : text.toString();
  }
}
