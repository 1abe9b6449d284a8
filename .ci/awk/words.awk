# Prints identifiers that use a word other than host, failure domain, workspace or upstream.

FNR == 1 { text = 0 }

{
    line = $0
    gsub(/\\"/, "", line)
    gsub(/"[^"]*"/, "", line)
    sub(/\/\/.*/, "", line)
}

line ~ /(^|[^A-Za-z])(backend|node|tenant|zone)s?([^a-z]|$)/ ||
line ~ /(Backend|Node|Tenant|Zone)s?([^a-z]|$)/ {
    print FILENAME ":" FNR ": " $0
}
