/* The subset of CUE for settings files and their schema; docs/settings.md describes its meaning. */
grammar Cue;

document : (struct | fields) EOF ;

struct   : '{' fields '}' ;
fields   : ','* (field (','* field)*)? ','* ;
field    : label OPTIONAL? ':' value
         | '[' pattern ']' ':' value
         | '...'
         ;
label    : IDENT | DEFINITION | STRING ;
pattern  : IDENT | unary ;
value    : label OPTIONAL? ':' value
         | choice
         ;

choice   : option ('|' option)* ;
option   : '*'? both ;
both     : unary ('&' unary)* ;
unary    : op=('>=' | '<=' | '>' | '<' | '!=' | '=~' | '!~') scalar
         | scalar
         | IDENT
         | DEFINITION
         | struct
         | list
         | '(' choice ')'
         ;
list     : '[' (choice (',' choice)* ','?)? ('...' choice?)? ']' ;
scalar   : STRING | NUMBER | QUANTITY ;

OPTIONAL   : '?' ;
STRING     : '"' ( ~["\\\u0000-\u001F] | '\\' . )* '"' ;
NUMBER     : '-'? DIGITS ('.' DIGITS)? ([eE] [+-]? DIGITS)? ;
QUANTITY   : '-'? DIGITS ('.' DIGITS)? [a-zA-Z]+ ;
IDENT      : [a-zA-Z_] [a-zA-Z0-9_]* ;
DEFINITION : '#' [a-zA-Z_] [a-zA-Z0-9_]* ;
COMMENT    : '//' ~[\r\n]* -> skip ;
SPACE      : [ \t\r\n\uFEFF]+ -> skip ;
OTHER      : . ;

fragment DIGITS : [0-9]+ ;
