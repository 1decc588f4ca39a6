package io.marigoldsail.daemon.dispatch;

import com.google.common.base.Ascii;
import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableSet;
import io.marigoldsail.protocol.Header;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;

/** Separates hop-by-hop headers from end-to-end headers. */
final class HopByHopHeaders {
  private static final ImmutableSet<String> HOP_BY_HOP =
      ImmutableSet.of(
          "connection",
          "content-length",
          "expect",
          "host",
          "keep-alive",
          "proxy-authenticate",
          "proxy-authorization",
          "proxy-connection",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade");

  private static final Splitter NAME_SPLITTER = Splitter.on(',').trimResults().omitEmptyStrings();

  private HopByHopHeaders() {}

  /** Adds the end-to-end headers to the list. */
  static void copyEndToEnd(HttpFields fields, List<Header> into) {
    Set<String> named = listedInConnectionHeader(fields);
    for (HttpField field : fields) {
      String name = field.getLowerCaseName();
      if (!HOP_BY_HOP.contains(name) && !named.contains(name) && field.getValue() != null) {
        into.add(Header.newBuilder().setName(field.getName()).setValue(field.getValue()).build());
      }
    }
  }

  private static Set<String> listedInConnectionHeader(HttpFields fields) {
    if (!fields.contains(HttpHeader.CONNECTION)) {
      return Set.of();
    }
    Set<String> named = new HashSet<>();
    for (String value : fields.getValuesList(HttpHeader.CONNECTION)) {
      NAME_SPLITTER.split(value).forEach(name -> named.add(Ascii.toLowerCase(name)));
    }
    return named;
  }
}
